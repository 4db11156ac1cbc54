#pragma once

#include "../filters/WorkerServices.h"
#include "CallerConnection.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <thread>

namespace azurecross {

/** One worker thread with its connections, time limits and metrics. */
class GatewayWorker
{
public:
  GatewayWorker(ControllerPort& aController,
                const GatewayLimits& aLimits,
                Metrics& aMetrics,
                RunningRequests& aRunning);
  ~GatewayWorker();

  GatewayWorker(const GatewayWorker&) = delete;
  GatewayWorker& operator=(const GatewayWorker&) = delete;

  void Start();
  /** Closes all connections and ends the thread. */
  void Stop();

  /** Serves a connection; any thread may call this. */
  void Serve(WorkerSocket::native_handle_type aSocket, bool aIsV6);
  /** Closes connections without a request; any thread may call this. */
  void CloseIdle();

  boost::asio::io_context& GetContext() { return context_; }

private:
  void ServeHere(WorkerSocket::native_handle_type aSocket, bool aIsV6);
  void Tick();
  void ScheduleTick();

  const GatewayLimits& limits_;
  BufferBudget answerBudget_{ limits_.answersLimitBytes_ };
  BufferBudget bodyBudget_{ limits_.bodiesLimitBytes_ };
  // Coroutines that are still suspended when the context is destroyed use
  // these, so they come first.
  DeadlineList deadlines_;
  WorkerMetrics metrics_;
  Random random_;
  boost::intrusive::list<CallerConnection,
                         boost::intrusive::constant_time_size<false>>
    connections_;
  std::size_t connectionCount_ = 0;
  std::unique_ptr<BackendPool> pool_;
  std::unique_ptr<WorkerServices> services_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<WorkerExecutor> guard_;
  boost::asio::steady_timer timer_;
  bool isStopping_ = false;
  std::thread thread_;
};

} // namespace azurecross

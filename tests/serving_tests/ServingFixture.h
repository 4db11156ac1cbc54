#pragma once

#include "TestWireProtocol.h"
#include "test_support/FakeBackendServer.h"
#include "test_support/TestCaller.h"

#include <azurecross_serving/azurecross_serving.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <memory>
#include <string>
#include <thread>

namespace azurecross {

/** The forwarding path on its own thread, with tables set by the test. */
class ServingFixture
{
public:
  /** Memory for all responses that are read at the same time. */
  static constexpr std::size_t kResponseBudgetBytes = std::size_t{ 1 } << 20;
  /** Memory for the bodies of all requests. */
  static constexpr std::size_t kRequestBudgetBytes = std::size_t{ 4 } << 20;

  ServingFixture();
  ~ServingFixture();

  ServingFixture(const ServingFixture&) = delete;
  ServingFixture& operator=(const ServingFixture&) = delete;

  /**
   * @returns tables with the routes `/once/` (not idempotent), `/safe/`
   * (idempotent, two attempts) and `/stream/` (generations). No API key is
   * needed unless the test adds customers.
   */
  static ServingTables::Content MakeTables(std::uint64_t aVersion = 1);

  /** Runs a function on the serving thread and waits for its end. */
  void Run(std::function<void()> aFunction);

  /** Applies tables and marks them as fresh. */
  void SetTables(ServingTables::Content aTables);
  /** Adds a ready backend server to a pool. */
  void AddServer(const std::string& aId,
                 const std::string& aPool,
                 const FakeBackendServer& aServer);
  /** Marks a backend server as draining. */
  void SetDraining(const std::string& aId,
                   const std::string& aPool,
                   const FakeBackendServer& aServer);

  /** Cuts the requests in progress and closes all connections. */
  void StopServer();

  /** @returns the text of a request with the given path, headers and id. */
  static std::string MakeRequest(const std::string& aPath,
                                 const std::string& aHeaders = {},
                                 const std::string& aId = "r1");

  /** Sends one request on a new connection. @returns the response. */
  CallerAnswer Call(const std::string& aRequest);
  TestCaller Connect() { return TestCaller(front_->GetAddress()); }

  ServingState& GetState() { return state_; }
  /** Used on the serving thread only. */
  FrontServer& GetFrontServer() { return *front_; }
  /** @returns all metrics as text. */
  std::string SerializeMetrics() { return registry_.Serialize(); }
  ForwardServices& GetServices() { return *services_; }
  /** @returns whether one connection that closed for this reason, with this
   * much of an unanswered request, is counted within 3 s. */
  bool WaitForClose(const std::string& aReason, const std::string& aRequest);
  /** @returns the metrics as text. */
  std::string FormatMetrics() const { return registry_.Serialize(); }

protected:
  /** Ends the serving thread. No coroutine resumes afterwards, so a derived
   * fixture can destroy what its coroutines use. */
  void StopThread();

private:
  ServerRecord MakeRecord(const std::string& aId,
                          const std::string& aPool,
                          const FakeBackendServer& aServer) const;
  void Tick();

  boost::asio::io_context context_{ 1 };
  ServingSettings settings_;
  Metrics registry_;
  DecisionLog log_;
  ServingMetrics metrics_{ registry_ };
  DeadlineList deadlines_;
  BackendPool connections_;
  GatewayLimits limits_;
  BufferBudget responseBudget_{ kResponseBudgetBytes };
  BufferBudget requestBudget_{ kRequestBudgetBytes };
  Random random_{ 1 };
  TestWireProtocol wire_;
  ServingState state_;
  AsyncDispatcher dispatch_;
  std::unique_ptr<ForwardServices> services_;
  std::unique_ptr<GenerationMover> mover_;
  std::unique_ptr<FrontServer> front_;
  boost::asio::steady_timer timer_;
  boost::asio::executor_work_guard<WorkerExecutor> guard_;
  std::thread thread_;
};

} // namespace azurecross

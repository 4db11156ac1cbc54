#pragma once

#include "ControlLoop.h"
#include "ControlSettings.h"

#include <azurecross_core/azurecross_core.h>
#include <azurecross_gateway/azurecross_gateway.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace azurecross {

/**
 * The control thread of an entry, as the gateway's workers see it. Implements
 * `RequestController`; any thread may call its functions.
 *
 * @code
 * ControlPlane control(settings, metrics);
 * BOOST_LEAF_CHECK(control.Start());
 * EntryServer server(..., control);
 * @endcode
 */
class ControlPlane
{
public:
  ControlPlane(ControlSettings aSettings, Metrics& aMetrics);
  ~ControlPlane();

  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  /** Binds the peer port and starts the control thread. */
  Result<void> Start();
  /** Ends the control thread; waiting requests are dropped. */
  void Stop();
  /** Announces the planned stop; running requests go on. */
  void BeginDrain();

  /**
   * Hands the operation records to another entry of the zone; call it after
   * the last request. Blocks until that is done or the time is over.
   */
  void HandOver(Duration aTimeout);

  AsyncResult<RouteMatch> MatchRoute(const RouteQuery& aQuery) const;
  boost::asio::awaitable<AsyncResult<Assignment>> Acquire(
    DispatchRequest aRequest);
  void ReportProgress(GrantId aGrant, std::uint64_t aTokens);
  void Release(GrantId aGrant, const ReleaseOutcome& aOutcome);
  boost::asio::awaitable<AsyncResult<OperationDecision>> BeginOperation(
    OperationRequest aRequest);
  void FinishOperation(const OperationAttempt& aAttempt,
                       OperationAnswer aAnswer);
  boost::asio::awaitable<AsyncResult<std::string>> IssueOperationKey();
  std::optional<SocketAddress> FindBackendServer(
    const BackendServerId& aServer) const;
  bool IsReady() const;
  bool IsDraining() const { return view_.isDraining_; }

  /** @returns the state of this entry as JSON; waits for the control thread. */
  std::string DescribeStatus();
  /** @see ControlLoop::Explain */
  std::string Explain(const RequestId& aRequest);
  /** @see ControlLoop::ExplainRoute */
  std::string ExplainRoute(const RouteQuery& aQuery);
  /** @see ControlLoop::ControlLinks */
  std::string ControlLinks(std::string_view aAction, const std::string& aPeer);

private:
  /** Runs a function on the control thread and waits for its text. */
  std::string Ask(const std::function<std::string()>& aAsk);

  ControlSettings settings_;
  boost::asio::io_context context_{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    guard_;
  SharedView view_;
  ControlLoop loop_;
  std::thread thread_;
  std::atomic<std::uint64_t> nextRequest_{ 0 };
  std::atomic<std::uint64_t> nextOperation_{ 0 };
  std::string requestPrefix_;
};

} // namespace azurecross

#pragma once

#include "../grants/GrantCoordinator.h"
#include "../groups/GroupDirectory.h"
#include "../load/LoadPoller.h"
#include "../operations/OperationShell.h"
#include "../orders/OrderShell.h"
#include "../pacing/PeakShell.h"
#include "ControlSettings.h"
#include "NewsExchange.h"
#include "PeerBridge.h"
#include "PeerMetrics.h"
#include "TableSync.h"

#include <azurecross_core/azurecross_core.h>
#include <azurecross_gateway/azurecross_gateway.h>
#include <azurecross_store/azurecross_store.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace azurecross {

/** What workers read without asking the control thread. */
struct SharedView
{
  RcuCell<Tables> tables_;
  RcuCell<GroupMap> groups_;
  std::atomic<bool> isDraining_{ false };
};

/**
 * Everything that the control thread owns: it turns timers, messages and calls
 * of workers into events of the decision core and carries out the actions.
 * All functions run on the control thread.
 */
class ControlLoop
{
public:
  using AcquireCallback = std::function<void(AsyncResult<Assignment>)>;

  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);

  ControlLoop(boost::asio::io_context& aContext,
              const ControlSettings& aSettings,
              SharedView& aView,
              Metrics& aMetrics);

  Result<void> Start();
  void Stop();
  /** Announces the planned stop and hands the home groups over. */
  void BeginDrain();

  /** Queues a request; the callback is called exactly once. */
  void Acquire(const RequestId& aId,
               DispatchRequest aRequest,
               AcquireCallback aCallback);
  void CancelAcquire(const RequestId& aId);
  void ReportProgress(GrantId aGrant, std::uint64_t aTokens);
  void Release(GrantId aGrant, const ReleaseOutcome& aOutcome);

  OperationShell& GetOperations() { return operations_; }

  /** @returns the state of this entry as JSON. */
  std::string DescribeStatus() const;
  /** @returns why a request is where it is, as JSON. */
  std::string Explain(const RequestId& aCallerRequest) const;
  /** @returns how a request would be routed, as JSON. */
  std::string ExplainRoute(const RouteQuery& aQuery) const;
  /** Cuts or heals the links to peers, for tests. */
  std::string ControlLinks(std::string_view aAction, const std::string& aPeer);

private:
  struct Waiting
  {
    AcquireCallback callback_;
    RequestId callerRequest_;
  };

  boost::asio::awaitable<void> RunTicks();
  boost::asio::awaitable<void> PollVmList(SocketAddress aAddress);
  void Tick(Time aNow);
  void PollLoads(Time aNow);
  void TakeMessage(const wire::PeerMessage& aMessage);
  void TakeMemberChanges(const std::vector<Member>& aChanges);
  void TakeTables(Tables::Version aTables);
  void TakeVmList(VmList aList);
  void TakeLoad(const LoadReport& aReport);
  void RebuildGroups();
  void UpdateHomes();
  void Process(GrantActions aActions);
  /** @returns whether a request that failed elsewhere may be tried again. */
  bool AdmitRetry(const DispatchRequest& aRequest, Time aNow);
  void Grant(const SlotGranted& aGranted);
  void Refuse(const SlotRefused& aRefused);
  void RememberRequest(const RequestId& aCaller, const RequestId& aId);

  boost::asio::io_context& context_;
  const ControlSettings& settings_;
  SharedView& view_;
  boost::asio::steady_timer timer_;
  PeerBridge peers_;
  TableSync tables_;
  OperationShell operations_;
  OrderShell orders_;
  RetryBudget retries_;
  GroupDirectory directory_;
  NewsExchange news_;
  std::shared_ptr<const GroupMap> groups_;
  GrantCoordinator grants_;
  PeakShell peaks_;
  LoadPoller poller_;
  Time lastPoll_;
  bool areHomesStale_ = false;
  bool isStopped_ = false;
  std::unordered_map<RequestId, Waiting> waiting_;
  /** Ids of recent requests by the caller's request id, for `Explain`. */
  std::unordered_map<RequestId, RequestId> recentIds_;
  std::deque<RequestId> recentOrder_;
  PeerMetrics peerMetrics_;
  prometheus::Gauge& membersGauge_;
  prometheus::Gauge& homesGauge_;
  prometheus::Gauge& heldGauge_;
  prometheus::Gauge& pendingGauge_;
  prometheus::Counter& vmListFailures_;
  prometheus::Counter& retriesRefused_;
};

} // namespace azurecross

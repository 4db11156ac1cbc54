#pragma once

#include "../placement/ServerLoadTracker.h"
#include "../placement/ServerPlacement.h"

#include <azurecross_core/azurecross_core.h>
#include <azurecross_policy/azurecross_policy.h>

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace azurecross {

using TicketId = std::uint64_t;

/** A request that waits for a backend server. */
struct DispatchTicket
{
  /** Chosen by the caller, unique among those waiting and rising. */
  TicketId id_ = 0;
  PlacementRequest request_;
  /** 0 is the most urgent. */
  int priority_ = 0;
  Time arrival_;
  /** After this time the answer or first event is late. */
  Time targetTime_;
  /** After this time the caller or the route gives up. */
  Time deadline_;
};

/** The request starts on this backend server; the run is counted already. */
struct StartDecision
{
  TicketId ticketId_ = 0;
  RunId run_ = 0;
  PlacementChoice choice_;
  Duration waited_{};
};

/** The request is refused; it has not run. */
struct RefuseDecision
{
  TicketId ticketId_ = 0;
  ErrorCode reason_ = ErrorCode::QueueFull;
  /** When a repeat is expected to find room. */
  Duration retryAfter_{};
  Duration waited_{};
  std::size_t queued_ = 0;
};

struct DispatchDecisions
{
  std::vector<StartDecision> starts_;
  std::vector<RefuseDecision> refusals_;
};

/**
 * Decides when each request of one daemon starts, in which order, and which
 * one is refused.
 *
 * Requests wait here rather than in an engine. Those that can still be on time
 * go first, by priority and fairly between customers; late ones follow. A
 * request is refused as soon as its wait is expected to outlast its time. The
 * load this answers: bursts of one kind beyond the engines' memory, with a
 * part of the engines reclaimed.
 */
class Dispatcher
{
public:
  Dispatcher(ServerLoadTracker& aLoadTracker,
             ServerPlacement aPlacement,
             std::uint64_t aSeed);

  void Enqueue(DispatchTicket aTicket, Time aNow, DispatchDecisions& aOut);
  /** Takes out a request whose caller has left. */
  void Cancel(TicketId aTicket);
  /** Starts what has room now. Call after each change of the load. */
  void Dispatch(Time aNow, DispatchDecisions& aOut);
  /** Refuses what can't be served any more, then dispatches. */
  void Tick(Time aNow, DispatchDecisions& aOut);
  /** Takes the end of a run, for the estimate of waits. */
  void RecordRunDuration(const PoolName& aPool, Duration aHeld);

  std::size_t CountQueued() const { return queued_.size(); }
  ServerPlacement& GetPlacement() { return placement_; }

private:
  /** Late requests have a priority behind all others. */
  using QueueKey = std::pair<PoolName, int>;

  struct Queued
  {
    DispatchTicket ticket_;
    QueueKey key_;
  };

  bool TryStart(FairQueue& aQueue, Time aNow, DispatchDecisions& aOut);
  double EstimateWait(const DispatchTicket& aTicket) const;
  void Refuse(TicketId aTicket, Time aNow, DispatchDecisions& aOut);
  Duration ComputeRetryAfter(double aWaitSeconds, Duration aTimeLeft);
  void Remove(TicketId aTicket);
  void MoveToLate(Queued& aQueued);
  /** @returns whether a server that takes new work is not excluded. */
  bool HasServer(const PlacementRequest& aRequest) const;

  ServerLoadTracker& loadTracker_;
  ServerPlacement placement_;
  Random random_;
  std::map<QueueKey, FairQueue> queues_;
  std::map<TicketId, Queued> queued_;
  /** Smoothed time for which a run holds its place, by pool. */
  std::map<PoolName, double> runSeconds_;
};

} // namespace azurecross

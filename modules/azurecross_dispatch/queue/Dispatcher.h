#pragma once

#include "../limits/ServerLimiter.h"
#include "../placement/ServerLoadTracker.h"
#include "../placement/ServerPlacement.h"
#include "../quarantine/RequestQuarantine.h"
#include "ScarcityPolicy.h"

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
  /** Assigned by the caller; increasing and unique among waiting requests. */
  TicketId id_ = 0;
  PlacementRequest request_;
  /** 0 is the most urgent. */
  int priority_ = 0;
  Time arrival_;
  /** After this time the answer or first event is late. */
  Time targetTime_;
  /** After this time the caller or the route times out. */
  Time deadline_;
};

/** The request starts on this backend server; the load includes the run. */
struct StartDecision
{
  TicketId ticketId_ = 0;
  RunId run_ = 0;
  PlacementChoice choice_;
  Duration waited_{};
  /** The part of the wait that was for a permit of a limited server. */
  Duration permitWait_{};
};

/** The request is refused without having run. */
struct RefuseDecision
{
  TicketId ticketId_ = 0;
  ErrorCode reason_ = ErrorCode::QueueFull;
  /** Delay after which a retry is expected to find capacity. */
  Duration retryAfter_{};
  Duration waited_{};
  std::size_t queued_ = 0;
  /** Servers of the pool that limit their rate. */
  std::size_t limitedServers_ = 0;
  /** Set if the reason is `PromptQuarantined` or `RequestQuarantined`. */
  std::optional<QuarantinedFingerprint> quarantined_;
};

struct DispatchDecisions
{
  std::vector<StartDecision> starts_;
  std::vector<RefuseDecision> refusals_;
};

/**
 * Queues the requests of one daemon and decides when each one starts and which
 * ones are refused.
 *
 * Requests wait here rather than in an engine. Requests that can still meet
 * their target time start first, by priority and fairly between customers; late
 * ones follow. A request is refused as soon as its expected wait exceeds the
 * usable part of its time, and at once if one of its fingerprints is in
 * quarantine. Pools that ask for it start requests by what a delay costs their
 * callers; see `ScarcityPolicy`. The design covers bursts of one kind of
 * request that exceed the engines' memory while a part of the engines is
 * reclaimed.
 */
class Dispatcher
{
public:
  Dispatcher(ServerLoadTracker& aLoadTracker,
             ServerLimiter& aLimiter,
             RequestQuarantine& aQuarantine,
             ServerPlacement aPlacement,
             std::uint64_t aSeed);

  /** Adds a request to the queue, or refuses it if its wait is too long. Then
   * starts all requests for which there is capacity. */
  void Enqueue(DispatchTicket aTicket, Time aNow, DispatchDecisions& aOut);
  /** Removes a request whose caller has disconnected. */
  void Cancel(TicketId aTicket);
  /** Starts all requests for which there is capacity. To be called after each
   * change of the load. */
  void Dispatch(Time aNow, DispatchDecisions& aOut);
  /** Refuses requests that can no longer be served in time, demotes late ones,
   * then dispatches. */
  void Tick(Time aNow, DispatchDecisions& aOut);
  /** Records the duration of a finished run, used to estimate waiting times. */
  void RecordRunDuration(const PoolName& aPool, Duration aRunTime);

  std::size_t CountQueued() const { return queued_.size(); }
  ServerPlacement& GetPlacement() { return placement_; }

private:
  /** Pool and priority; late requests are placed behind all others. */
  using QueueKey = std::pair<PoolName, int>;

  struct QueueEntry
  {
    DispatchTicket ticket_;
    QueueKey key_;
    /** When the request began to wait for a permit. */
    std::optional<Time> permitAwaitedSince_;
    /** Expected time from the start to the first event, as of the last choice
     * of a server. */
    Duration expectedService_{};
    /** Expected work in relation to that of a typical request. */
    double relativeWork_ = 1.0;
  };

  using QueueIterator = std::map<QueueKey, FairQueue>::iterator;

  /** Starts the requests of one pool by priority.
   * @param aEnd the first queue of the next pool. */
  void DispatchByPriority(QueueIterator aBegin,
                          QueueIterator aEnd,
                          Time aNow,
                          DispatchDecisions& aOut);
  /** Starts the requests of one pool by what their delay costs. */
  void DispatchByCost(QueueIterator aBegin,
                      QueueIterator aEnd,
                      Time aNow,
                      DispatchDecisions& aOut);
  /** @returns the rank of a request among those of all daemons. */
  static int ComputeRank(const QueueEntry& aEntry, Time aNow);
  /** @returns the expected work of a request in relation to that of a typical
   * one of its pool. */
  double ComputeRelativeWork(const PlacementRequest& aRequest);
  bool TryStartNext(FairQueue& aQueue, Time aNow, DispatchDecisions& aOut);
  /** Chooses a server for a waiting request, and requests permits for it until
   * a server is found, a reply is outstanding or no server is left.
   * @returns the server, if the request can start now. */
  std::optional<PlacementChoice> ChooseServer(QueueEntry& aEntry, Time aNow);
  double EstimateWait(const DispatchTicket& aTicket, Time aNow) const;
  /** @returns the wait, in seconds, until the first server takes requests, if
   * all of them are paused or limited without permits left. */
  double EstimateServerWait(const DispatchTicket& aTicket, Time aNow) const;
  std::size_t CountLimitedServers(const PoolName& aPool) const;
  void Refuse(TicketId aTicket, Time aNow, DispatchDecisions& aOut);
  /** Refuses the ticket, which is not queued, if one of its fingerprints is in
   * quarantine. @returns whether it was refused. */
  bool RefuseIfQuarantined(const DispatchTicket& aTicket,
                           Time aNow,
                           DispatchDecisions& aOut) const;
  Duration ComputeRetryAfter(double aWaitSeconds, Duration aTimeLeft);
  void Remove(TicketId aTicket);
  void DemoteLateRequest(QueueEntry& aEntry);
  /** @returns whether the pool has a ready server that is not excluded. */
  bool HasReadyServer(const PlacementRequest& aRequest) const;
  /** @returns whether all servers of the pool are in evacuated zones. */
  bool IsEvacuated(const PoolName& aPool) const;
  static bool IsReadyServer(const ServerLoad& aServer,
                            const PlacementRequest& aRequest);

  ServerLoadTracker& loadTracker_;
  ServerLimiter& limiter_;
  RequestQuarantine& quarantine_;
  ServerPlacement placement_;
  Random random_;
  std::map<QueueKey, FairQueue> queues_;
  std::map<TicketId, QueueEntry> queued_;
  /** Smoothed run duration by pool. */
  std::map<PoolName, double> runSeconds_;
  /** Mean expected work of the requests of a pool. */
  std::map<PoolName, DecayedMean> work_;
};

} // namespace azurecross

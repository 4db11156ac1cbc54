#pragma once

#include "../admission/LengthPredictor.h"
#include "../health/HealthTracker.h"
#include "../pacing/Pacer.h"
#include "../placement/PrefixIndex.h"
#include "ArbiterAction.h"
#include "ArbiterOptions.h"
#include "ArbiterState.h"
#include "GrantRequest.h"
#include "GroupSummary.h"
#include "ModelQueues.h"

#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurecross {

/**
 * Schedules the requests of one arbitration group on its backend servers.
 *
 * The arbiter is a deterministic state machine that reads no clock and does no
 * I/O. Functions that take `aActions` append their decisions to it, and the
 * owner delivers them to the entries. The times passed in must not decrease,
 * and `Tick` must be called about every 100 ms.
 *
 * Messages may be repeated: a repeated `Enqueue` of a queued request is
 * ignored, that of a granted request repeats the grant, and reports on unknown
 * grants are ignored.
 */
class Arbiter
{
public:
  explicit Arbiter(const ArbiterOptions& aOptions = {});
  Arbiter(const Arbiter&) = delete;
  Arbiter& operator=(const Arbiter&) = delete;
  Arbiter(Arbiter&&) = default;
  Arbiter& operator=(Arbiter&&) = default;
  ~Arbiter() = default;

  /** Replaces the list of backend servers. Learned state of known servers is
   * kept, and a server that is no longer listed gets no new requests. */
  void SetBackendServers(
    const std::vector<BackendServerDescription>& aDescriptions,
    Time aNow,
    ArbiterActions& aActions);

  /** Limits this arbiter to 1 / `aDivisor` of the capacity. Entries that can't
   * reach the home entry use it to share the capacity; 1 is the whole capacity.
   */
  void SetCapacityDivisor(std::uint32_t aDivisor);

  /** Requests a slot. A request that excludes the backend server of its own
   * grant is a retry: the grant is released as failed first. */
  void Enqueue(const GrantRequest& aRequest,
               Time aNow,
               ArbiterActions& aActions);

  /** Records the number of output tokens generated so far; called about every
   * 250 ms for each grant. */
  void ReportProgress(GrantId aGrant,
                      std::uint32_t aTokens,
                      Time aNow,
                      ArbiterActions& aActions);

  /**
   * Records the number of output tokens of a finished generation whose answer
   * arrived as a whole. Unlike `ReportProgress`, the report has no information
   * on the time of the first token or the gaps between tokens.
   */
  void ReportTotalTokens(GrantId aGrant, std::uint32_t aTokens, Time aNow);

  /** Releases the slot of a grant. */
  void Release(GrantId aGrant,
               GrantOutcome aOutcome,
               Time aNow,
               ArbiterActions& aActions);

  /** Removes a queued request, or releases its grant as cancelled. */
  void Cancel(const RequestId& aRequest, Time aNow, ArbiterActions& aActions);

  /** Removes the queued requests and releases the grants of an entry that has
   * died. */
  void ReleaseEntry(const EntryId& aEntry, Time aNow, ArbiterActions& aActions);

  void ReportLoad(const BackendServerLoad& aLoad,
                  Time aNow,
                  ArbiterActions& aActions);

  /** Updates the prefix index from a cache event, which may be late or out of
   * order. */
  void ReportCacheEvent(const CacheEvent& aEvent, Time aNow);

  /** Adds the grants that a previous home entry made, after a change of the
   * home entry. */
  void ReportInFlight(const std::vector<InFlightGrant>& aGrants, Time aNow);

  /** Updates health, limits and pacing, refuses requests that can't meet their
   * deadline, and dispatches queued requests. */
  void Tick(Time aNow, ArbiterActions& aActions);

  GroupSummary Summarize() const;

  /** @returns the reasons why a request is queued or was granted its backend
   * server, one per line; empty if the request is unknown. */
  std::vector<std::string> Explain(const RequestId& aRequest) const;

  /** @returns the charged tokens of the busiest minute so far, to be saved in
   * the store. */
  double GetBusiestMinuteTokens() const;
  /** Restores the busiest minute from the store; a value below the present one
   * is ignored. */
  void RestoreBusiestMinuteTokens(double aTokensPerMinute);
  /** @see Pacer::StartBillingMonth */
  void StartMonth();

private:
  using Server = BackendServerState;
  using Queued = QueuedRequest;
  using Granted = GrantedRequest;

  ModelQueues* FindModelQueues(const ModelName& aModel);
  void UpdateModelQueues();
  void UpdateAllSlots();
  void UpdateServerSlots(std::uint32_t aServer);
  bool HasFreeSlot(const ModelQueues& aModelQueues, Rank aLimitRank) const;
  MemoryForecast ForecastMemory(const GrantRequest& aRequest,
                                LengthPredictor::ClassIndex aClass,
                                std::uint32_t aTokens) const;
  double ComputeWait(const ModelQueues& aModelQueues,
                     const GrantRequest& aRequest) const;
  bool EnsureQueueSpace(ModelQueues& aModelQueues,
                        const GrantRequest& aRequest,
                        ArbiterActions& aActions);
  bool HandleRepeat(const GrantRequest& aRequest,
                    Time aNow,
                    ArbiterActions& aActions);
  void Refuse(const GrantRequest& aRequest,
              ErrorCode aReason,
              double aWaitSeconds,
              ArbiterActions& aActions);
  void RemoveQueued(std::uint64_t aNumber);
  bool CanGrantLesser(const ModelQueues& aModelQueues) const;
  bool IsLesserBelowFloor(const ModelQueues& aModelQueues) const;
  /** @returns the rank whose limits apply to the next urgent request. A
   * customer with a long queue is held to the limits of lesser work, so that
   * requests of other customers find a free slot at once. */
  Rank ChooseUrgentLimitRank(const ModelQueues& aModelQueues) const;
  void Dispatch(ModelQueues& aModelQueues, Time aNow, ArbiterActions& aActions);
  void DispatchAll(Time aNow, ArbiterActions& aActions);
  bool GrantNext(ModelQueues& aModelQueues,
                 Rank aRank,
                 Rank aLimitRank,
                 Time aNow,
                 ArbiterActions& aActions);
  bool TryGrant(std::uint64_t aNumber,
                Rank aLimitRank,
                Time aNow,
                ArbiterActions& aActions);
  std::optional<Placement> ChooseServer(const ModelQueues& aModelQueues,
                                        const GrantRequest& aRequest,
                                        const MemoryForecast& aForecast,
                                        const PlacementBounds& aBounds);
  std::uint32_t CountCachedBlocks(std::uint32_t aServer) const;
  void AddGrant(GrantId aGrant, Granted aGranted, Time aNow);
  std::vector<std::string> ExplainQueued(const Queued& aQueued) const;
  std::vector<std::string> ExplainGranted(const Granted& aGranted) const;
  void RecordTokens(Granted& aGranted, std::uint32_t aTokens, Time aNow);
  void ReleaseGrant(GrantId aGrant, GrantOutcome aOutcome, Time aNow);
  void UpdatePacing(Time aNow);
  std::uint32_t CountLesserRunning() const;
  void UpdateHealth(Time aNow, ArbiterActions& aActions);
  void RefuseUnreachableDeadlines(Time aNow, ArbiterActions& aActions);

  ArbiterOptions options_;
  Random random_;
  LengthPredictor lengthPredictor_;
  PrefixIndex prefixIndex_;
  /** Backend servers that have the present request's prefix cached; a member to
   * avoid an allocation for each decision. */
  std::vector<PrefixIndex::Match> prefixMatches_;
  HealthTracker health_;
  Pacer pacer_;
  /** Limits on concurrent lesser requests from pacing and from the floor of
   * lesser work; unlimited while pacing is off. */
  double pacedSlots_ = std::numeric_limits<double>::max();
  double floorSlots_ = std::numeric_limits<double>::max();
  std::uint32_t capacityDivisor_ = 1;
  std::deque<Server> servers_;
  std::vector<ServerSlots> slots_;
  std::unordered_map<BackendServerId, std::uint32_t> serverIndexes_;
  /** Queues by model name; sorted, so that the order of decisions is
   * deterministic. */
  std::map<ModelName, std::unique_ptr<ModelQueues>> queuesByModel_;
  /** Queued requests by queue number; the numbers rise in order of arrival. */
  std::unordered_map<std::uint64_t, Queued> queued_;
  std::unordered_map<RequestId, std::uint64_t> queuedNumbers_;
  std::set<std::pair<Time, std::uint64_t>> deadlines_;
  std::unordered_map<GrantId, Granted> granted_;
  std::unordered_map<RequestId, GrantId> grantIds_;
  std::uint64_t nextQueueNumber_ = 0;
  std::uint64_t nextGrantId_ = 0;
  Time lastTick_;
  bool hasTicked_ = false;
};

} // namespace azurecross

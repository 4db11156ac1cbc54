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
 * Decides which request runs where in one arbitration group.
 *
 * It is a plain state machine: it reads no clock and does no I/O. Every
 * function that can decide something appends its decisions to `aActions`;
 * times must not decrease. The owner delivers the actions to the entries that
 * asked. Call `Tick` about every 100 ms.
 *
 * Repeated messages are harmless: a repeated `Enqueue` of a queued request is
 * ignored and that of a granted one repeats its grant, and reports on unknown
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

  /** Replaces the group's list; what was learned about known servers stays.
   * A backend server that is no longer listed gets no new requests. */
  void SetBackendServers(
    const std::vector<BackendServerDescription>& aDescriptions,
    Time aNow,
    ArbiterActions& aActions);

  /** Uses only 1 / `aDivisor` of the capacity, for an entry that can't reach
   * the home entry; 1 is the whole capacity. */
  void SetCapacityDivisor(std::uint32_t aDivisor);

  /** Asks for a slot. A request that names the backend server of its own
   * grant as excluded is a retry, and releases that grant as failed. */
  void Enqueue(const GrantRequest& aRequest,
               Time aNow,
               ArbiterActions& aActions);

  /** Takes the number of output tokens so far, about every 250 ms. */
  void ReportProgress(GrantId aGrant,
                      std::uint32_t aTokens,
                      Time aNow,
                      ArbiterActions& aActions);

  /** Returns a slot. */
  /**
   * Takes the tokens of a generation that has ended. Unlike progress, it says
   * nothing about when the first token came or how long the gaps were: a whole
   * answer arrives at once.
   */
  void ReportTotalTokens(GrantId aGrant, std::uint32_t aTokens, Time aNow);

  void Release(GrantId aGrant,
               GrantOutcome aOutcome,
               Time aNow,
               ArbiterActions& aActions);

  /** Removes a queued request, or releases its grant as cancelled. */
  void Cancel(const RequestId& aRequest, Time aNow, ArbiterActions& aActions);

  /** Drops the queued requests and the grants of an entry that has died. */
  void ReleaseEntry(const EntryId& aEntry, Time aNow, ArbiterActions& aActions);

  void ReportLoad(const BackendServerLoad& aLoad,
                  Time aNow,
                  ArbiterActions& aActions);

  /** Takes an engine's cache event; it may be late and out of order. */
  void ReportCacheEvent(const CacheEvent& aEvent, Time aNow);

  /** Counts grants made by an earlier home entry, after a home change. */
  void ReportInFlight(const std::vector<InFlightGrant>& aGrants, Time aNow);

  /** Refuses requests that can't meet their deadline and updates limits. */
  void Tick(Time aNow, ArbiterActions& aActions);

  GroupSummary Summarize() const;

  /** @returns why a request is where it is, one reason per line; empty if the
   * request is not known any more. */
  std::vector<std::string> Explain(const RequestId& aRequest) const;

  /** The busiest minute so far, in charged tokens, to be kept in the store. */
  double GetBusiestMinuteTokens() const;
  /** Takes the busiest minute from the store; a lower value is ignored. */
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
  /** @returns whose limits apply to the next urgent request. A customer with
   * a queue of its own is held to those of lesser work, so that the requests
   * of other customers find a free slot at once. */
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
  /** Backend servers that hold the present request's prefix; kept between
   * calls to save an allocation for each decision. */
  std::vector<PrefixIndex::Match> prefixMatches_;
  HealthTracker health_;
  Pacer pacer_;
  /** Lesser requests that may run at once, and those that its floor takes;
   * unlimited while there is no pacing. */
  double pacedSlots_ = std::numeric_limits<double>::max();
  double floorSlots_ = std::numeric_limits<double>::max();
  std::uint32_t capacityDivisor_ = 1;
  std::deque<Server> servers_;
  std::vector<ServerSlots> slots_;
  std::unordered_map<BackendServerId, std::uint32_t> serverIndexes_;
  /** Lanes by model; the order fixes the order of decisions. */
  std::map<ModelName, std::unique_ptr<ModelQueues>> queuesByModel_;
  /** Queued requests by number, in order of arrival. */
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

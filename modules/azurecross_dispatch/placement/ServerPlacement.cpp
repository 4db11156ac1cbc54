#include "ServerPlacement.h"

#include <algorithm>

namespace azurecross {

namespace {

/** Share of an engine's memory that placement may fill with expected usage. The
 * rest absorbs outputs that are longer than expected: if memory runs out, the
 * engine preempts a generation, whose prompt must then be prefilled again. */
constexpr double kUsableMemoryShare = 0.84;
/** The share for a run that moves away from an engine that shuts down. The
 * difference is reserved for such runs: a new run can wait, whereas a moving
 * run is lost if no engine has room. */
constexpr double kUsableMemoryShareMoving = 0.93;
/** The share for a run that is expected to end soon. Such a run ends before the
 * others grow into the reserve, and would otherwise wait behind long runs. */
constexpr double kUsableMemoryShareShortRun = 0.97;
constexpr double kShortRunSeconds = 1.0;
/** Share of the time to the target that the expected first event may take. */
constexpr double kUsableTimeShare = 0.8;
/** Cost of a server in another zone, in addition to the largest random part: a
 * stream across zones breaks or pauses with a partition. A cost of 1
 * corresponds to the whole memory of an engine. */
constexpr double kOtherZoneCost = 0.15;
/** A move to another zone takes twice as long and uses a shared link. */
constexpr double kMoveToOtherZoneCost = 0.3;
/** Cost of a move to a server that limits its rate: the run that resumes there
 * takes the place of a waiting request. */
constexpr double kMoveToLimitedServerCost = 1.0;
/** Cost of one second of a plain call. */
constexpr double kSecondCost = 0.5;
/** Cost of a first event that takes the whole time to the target. The cost
 * grows quadratically: half of that time costs about as much as most of an
 * engine's memory, a tenth of it almost nothing. */
constexpr double kWaitCost = 3.0;
/** Calls per slot of a service that may run and wait there, if they are
 * expected to be answered in time, and if they are late anyway. A server
 * rejects calls beyond its own queue, which holds several for each slot. */
constexpr double kMaxServiceLoad = 3.0;
constexpr double kMaxLateServiceLoad = 2.0;
/** Cost of 10 ms between tokens: a run occupies a slow engine for longer. */
constexpr double kTokenGapCost = 0.1;
/** Cost of an engine whose gaps will exceed their target, for a long stream.
 * Such a stream is late for its reader, whatever else the engine offers. */
constexpr double kStallCost = 1.5;
/** Cost of an engine whose gaps keep their target, for a short stream. */
constexpr double kGapSafeEngineCost = 0.3;
/** A stream with at least this many events meets disturbances of its engine. */
constexpr double kLongStreamEvents = 10.0;
/** Expected longest gaps, as shares of the target, from which a risk begins and
 * is certain. Below 1, because the expectation is a mean over many streams. */
constexpr double kMinRiskyGap = 0.8;
constexpr double kMaxRiskyGap = 1.0;
/** Risk of an engine whose pace is unknown. */
constexpr double kUnknownStallRisk = 0.3;
/** Cost of a server whose recent runs all failed. */
constexpr double kFailureCost = 3.0;
/** Cost of a server that was recently unreachable or has failed repeatedly. */
constexpr double kSuspectCost = 10.0;
/** Cost of a server that has just started. */
constexpr double kWarmUpCost = 0.3;
/** Random part of the cost per peer, and its maximum. Ten daemons place about
 * one prompt on each engine between two reports, which adds about this cost in
 * waiting time. */
constexpr double kSpreadPerDaemon = 0.008;
constexpr double kMaximumSpread = 0.4;
/** Consecutive failures after which a server is suspect. */
constexpr std::uint32_t kSuspectFailures = 4;

double
GetUsableMemoryShare(const PlacementRequest& aRequest, bool aIsShortRun)
{
  if (aIsShortRun) {
    return kUsableMemoryShareShortRun;
  }
  return aRequest.outputTokens_ > 0 ? kUsableMemoryShareMoving
                                    : kUsableMemoryShare;
}

} // namespace

bool
ServerPlacement::IsUsable(const ServerLoad& aServer,
                          const PlacementRequest& aRequest,
                          Time aNow) const
{
  return aServer.record_.pool_ == aRequest.pool_ &&
         aServer.record_.state_ == ServerState::Ready &&
         !aServer.isEvacuated_ && aNow >= aServer.pausedUntil_ &&
         std::find(aRequest.excludedServers_.begin(),
                   aRequest.excludedServers_.end(),
                   aServer.record_.id_) == aRequest.excludedServers_.end();
}

double
ServerPlacement::ComputePenalty(const ServerLoadTracker& aLoadTracker,
                                const ServerLoad& aServer,
                                const PlacementRequest& aRequest,
                                double aSpread,
                                Time aNow) const
{
  double cost = kFailureCost * aServer.GetFailureShare();
  const AvailabilityZone& preferred = aRequest.preferredZone_.GetValue().empty()
                                        ? zone_
                                        : aRequest.preferredZone_;
  if (aServer.record_.zone_ != preferred) {
    cost += aSpread + (aRequest.outputTokens_ > 0 ? kMoveToOtherZoneCost
                                                  : kOtherZoneCost);
  }
  if (aNow < aServer.warmUpEnd_) {
    cost += kWarmUpCost;
  }
  const bool isZoneUnreachable =
    aServer.record_.zone_ != zone_ &&
    aLoadTracker.IsZoneSuspect(aServer.record_.zone_, aNow);
  if (isZoneUnreachable || aNow < aServer.suspectUntil_ ||
      aServer.consecutiveFailures_ >= kSuspectFailures) {
    cost += kSuspectCost;
  }
  return cost;
}

std::optional<PlacementChoice>
ServerPlacement::RateEngine(const ServerLoadTracker& aLoadTracker,
                            const ServerLoad& aServer,
                            const PlacementRequest& aRequest,
                            Duration aPermitWait,
                            Time aNow) const
{
  const EngineTraits& engine = *aServer.engine_;
  const std::uint32_t runs = aServer.GetRuns();
  if (runs >= engine.slots_) {
    return std::nullopt;
  }
  const double memory = aServer.GetMemoryTokens() +
                        aLoadTracker.PredictMemory(aRequest.route_,
                                                   aRequest.customer_,
                                                   aRequest.demand_,
                                                   aRequest.outputTokens_);
  const double output =
    aLoadTracker.PredictRemainingOutput(aRequest.route_,
                                        aRequest.customer_,
                                        aRequest.demand_,
                                        aRequest.outputTokens_);
  const bool isShortRun =
    output * aServer.GetSecondsPerToken() < kShortRunSeconds;
  const double share = memory / (GetUsableMemoryShare(aRequest, isShortRun) *
                                 static_cast<double>(engine.memoryTokens_));
  // A request larger than the usable memory may run on an empty engine.
  if (share > 1.0 && runs > 0) {
    return std::nullopt;
  }
  double seconds = 0.0;
  double waitShare = 0.0;
  if (aRequest.outputTokens_ == 0) {
    const double prompt = aRequest.demand_.promptTokens_ -
                          aLoadTracker.FindCachedTokens(
                            aServer.record_.id_, aRequest.demand_, aNow);
    const double pending = aServer.GetPendingPromptTokens();
    seconds = ToSeconds(aPermitWait) +
              (pending + prompt) * aServer.GetSecondsPerPromptToken();
    const double left = ToSeconds(aRequest.timeToTarget_);
    // A late request waits for an engine without queued prompts.
    if (pending > 0.0 && seconds > kUsableTimeShare * left) {
      return std::nullopt;
    }
    waitShare = left > 0.0 ? std::min(seconds / left, 1.0) : 1.0;
  }
  PlacementChoice choice;
  choice.expectedSeconds_ = seconds;
  choice.loadShare_ = share;
  choice.expectedGapSeconds_ =
    aLoadTracker.PredictLongestGap(aServer, aNow).value_or(0.0);
  choice.cost_ =
    share + kWaitCost * waitShare * waitShare +
    kTokenGapCost * aServer.GetSecondsPerToken() / 0.01 +
    ComputeStallCost(engine, aRequest, choice.expectedGapSeconds_, output);
  return choice;
}

double
ServerPlacement::ComputeStallCost(const EngineTraits& aEngine,
                                  const PlacementRequest& aRequest,
                                  double aGapSeconds,
                                  double aOutput) const
{
  const double target = ToSeconds(aRequest.gapTarget_);
  if (!aEngine.pacesPrompts_ || target <= 0.0) {
    return 0.0;
  }
  const double risk = aGapSeconds > 0.0
                        ? std::clamp((aGapSeconds / target - kMinRiskyGap) /
                                       (kMaxRiskyGap - kMinRiskyGap),
                                     0.0,
                                     1.0)
                        : kUnknownStallRisk;
  const bool isLong = aOutput / aEngine.tokensPerEvent_ >= kLongStreamEvents;
  return isLong ? kStallCost * risk : kGapSafeEngineCost * (1.0 - risk);
}

std::optional<PlacementChoice>
ServerPlacement::RateService(const ServerLoad& aServer,
                             const PlacementRequest& aRequest,
                             Duration aPermitWait) const
{
  const std::uint32_t runs = aServer.GetRuns();
  const std::uint32_t slots = aServer.record_.slots_;
  const bool isFull = runs >= slots;
  if (isFull && !aRequest.mayQueueAtServer_) {
    return std::nullopt;
  }
  PlacementChoice choice;
  choice.loadShare_ = static_cast<double>(runs + 1) / slots;
  const double rounds = std::max(choice.loadShare_, 1.0);
  choice.expectedSeconds_ =
    ToSeconds(aPermitWait) + rounds * aServer.GetSecondsPerCall();
  const double left = ToSeconds(aRequest.timeToTarget_);
  const bool isInTime = choice.expectedSeconds_ <= kUsableTimeShare * left;
  const double maxLoad = isInTime ? kMaxServiceLoad : kMaxLateServiceLoad;
  if (isFull && choice.loadShare_ > maxLoad) {
    return std::nullopt;
  }
  choice.cost_ = choice.loadShare_ + kSecondCost * choice.expectedSeconds_;
  return choice;
}

std::optional<PlacementChoice>
ServerPlacement::RateServer(const ServerLoadTracker& aLoadTracker,
                            const ServerLimiter& aLimiter,
                            const ServerLoad& aServer,
                            const PlacementRequest& aRequest,
                            Time aNow) const
{
  const PermitStatus permit =
    aLimiter.FindStatus(aServer.record_.id_, aRequest.maxPermitWait_, aNow);
  // A run that moves away from an engine can't wait for a permit.
  const bool isMoving = aRequest.outputTokens_ > 0;
  const bool isAwaited = permit.state_ == PermitState::Obtainable && !isMoving;
  const bool isUnobtainable =
    permit.state_ == PermitState::Unavailable ||
    (isAwaited && !permit.isRequested_ && !aRequest.mayRequestPermit_);
  if (isUnobtainable && !isMoving) {
    return std::nullopt;
  }
  const Duration wait = isMoving ? Duration::zero() : permit.wait_;
  auto choice = aServer.engine_
                  ? RateEngine(aLoadTracker, aServer, aRequest, wait, aNow)
                  : RateService(aServer, aRequest, wait);
  if (choice && isAwaited) {
    choice->awaitedPermit_ = permit.wait_;
  }
  if (choice && isMoving && permit.state_ != PermitState::NotNeeded) {
    choice->cost_ += kMoveToLimitedServerCost;
  }
  return choice;
}

std::optional<PlacementChoice>
ServerPlacement::Choose(const ServerLoadTracker& aLoadTracker,
                        const ServerLimiter& aLimiter,
                        const PlacementRequest& aRequest,
                        Time aNow)
{
  const double spread =
    std::min(kMaximumSpread,
             kSpreadPerDaemon * static_cast<double>(aLoadTracker.CountPeers()));
  std::optional<PlacementChoice> best;
  bool hasAlternative = false;
  for (const auto& [id, server] : aLoadTracker.GetServers()) {
    if (!IsUsable(server, aRequest, aNow)) {
      continue;
    }
    auto choice = RateServer(aLoadTracker, aLimiter, server, aRequest, aNow);
    if (!choice) {
      continue;
    }
    choice->cost_ +=
      ComputePenalty(aLoadTracker, server, aRequest, spread, aNow) +
      spread * random_.DrawUnit();
    hasAlternative = hasAlternative || !choice->awaitedPermit_;
    if (best && choice->cost_ >= best->cost_) {
      continue;
    }
    choice->server_ = id;
    choice->address_ = server.record_.address_;
    choice->zone_ = server.record_.zone_;
    choice->runs_ = server.GetRuns();
    best = std::move(choice);
  }
  if (best && best->awaitedPermit_ && !hasAlternative) {
    best->awaitedPermit_ = aRequest.maxPermitWait_;
  }
  return best;
}

} // namespace azurecross

#include "ServerPlacement.h"

#include <algorithm>

namespace azurecross {

namespace {

/** Part of an engine's memory that admission fills with expected use. The rest
 * absorbs outputs that are longer than expected; running out of memory
 * preempts a running generation, which has to be read again. */
constexpr double kUsableMemory = 0.84;
/** The same for a run that moves from an engine that goes away. New runs leave
 * it the difference: they can wait, and it is lost without a place. */
constexpr double kUsableMemoryMoving = 0.93;
/** The same for a run that is expected to end soon: it leaves before the others
 * have grown into the rest, and would otherwise wait behind long ones. */
constexpr double kUsableMemoryBriefly = 0.97;
constexpr double kBriefSeconds = 1.0;
/** Part of the time to the target that the expected first event may take. */
constexpr double kUsableTime = 0.8;
/** Costs are in units of one engine's whole memory. */
constexpr double kOtherZoneCost = 0.15;
/** A move to another zone takes twice as long, on a link that others need. */
constexpr double kMoveToOtherZoneCost = 0.3;
/** Cost of one second of a plain call. */
constexpr double kSecondCost = 0.5;
/** Cost of a first event that takes the whole time to the target. The cost
 * grows with the square: half of the time used up weighs as much as most of
 * an engine's memory, a tenth of it next to nothing. */
constexpr double kWaitCost = 3.0;
/** Cost of 10 ms between tokens: slow engines hold a run for longer. */
constexpr double kTokenGapCost = 0.1;
/** Cost of a server whose recent runs all failed. */
constexpr double kFailureCost = 3.0;
/** Cost of a server that could not be reached lately, or has just started. */
constexpr double kSuspectCost = 10.0;
constexpr double kColdCost = 0.3;
/** Random part of the cost for each other daemon, and at most. Ten daemons
 * place about one prompt on each engine between two reports, which costs this
 * much in waiting. */
constexpr double kSpreadPerDaemon = 0.008;
constexpr double kLargestSpread = 0.4;
/** Failures in a row after which a server counts as suspect. */
constexpr std::uint32_t kSuspectFailures = 4;

double
FindUsableMemory(const PlacementRequest& aRequest, bool aIsBrief)
{
  if (aIsBrief) {
    return kUsableMemoryBriefly;
  }
  return aRequest.outputTokens_ > 0 ? kUsableMemoryMoving : kUsableMemory;
}

} // namespace

bool
ServerPlacement::IsUsable(const ServerLoad& aServer,
                          const PlacementRequest& aRequest) const
{
  return aServer.record_.pool_ == aRequest.pool_ &&
         aServer.record_.state_ == ServerState::Ready &&
         std::find(aRequest.excludedServers_.begin(),
                   aRequest.excludedServers_.end(),
                   aServer.record_.id_) == aRequest.excludedServers_.end();
}

double
ServerPlacement::ComputePenalty(const ServerLoadTracker& aLoadTracker,
                                const ServerLoad& aServer,
                                const PlacementRequest& aRequest,
                                Time aNow) const
{
  double cost = kFailureCost * aServer.GetFailureShare();
  const AvailabilityZone& preferred = aRequest.preferredZone_.GetValue().empty()
                                        ? zone_
                                        : aRequest.preferredZone_;
  if (aServer.record_.zone_ != preferred) {
    cost += aRequest.outputTokens_ > 0 ? kMoveToOtherZoneCost : kOtherZoneCost;
  }
  if (aNow < aServer.warmUpEnd_) {
    cost += kColdCost;
  }
  const bool isCutOff = aServer.record_.zone_ != zone_ &&
                        aLoadTracker.IsZoneSuspect(aServer.record_.zone_, aNow);
  if (isCutOff || aNow < aServer.suspectUntil_ ||
      aServer.consecutiveFailures_ >= kSuspectFailures) {
    cost += kSuspectCost;
  }
  return cost;
}

std::optional<PlacementChoice>
ServerPlacement::RateEngine(const ServerLoadTracker& aLoadTracker,
                            const ServerLoad& aServer,
                            const PlacementRequest& aRequest,
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
  const bool isBrief = output * aServer.GetSecondsPerToken() < kBriefSeconds;
  const double share = memory / (FindUsableMemory(aRequest, isBrief) *
                                 static_cast<double>(engine.memoryTokens_));
  // A request that fits nowhere still has to run on an empty engine.
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
    seconds = (pending + prompt) * aServer.GetSecondsPerPromptToken();
    const double left = ToSeconds(aRequest.timeToTarget_);
    // A late request waits for an engine without prompts ahead of it.
    if (pending > 0.0 && seconds > kUsableTime * left) {
      return std::nullopt;
    }
    waitShare = left > 0.0 ? std::min(seconds / left, 1.0) : 1.0;
  }
  PlacementChoice choice;
  choice.expectedSeconds_ = seconds;
  choice.loadShare_ = share;
  choice.cost_ = share + kWaitCost * waitShare * waitShare +
                 kTokenGapCost * aServer.GetSecondsPerToken() / 0.01;
  return choice;
}

std::optional<PlacementChoice>
ServerPlacement::RateService(const ServerLoad& aServer) const
{
  const std::uint32_t runs = aServer.GetRuns();
  if (runs >= aServer.record_.slots_) {
    return std::nullopt;
  }
  PlacementChoice choice;
  choice.loadShare_ = static_cast<double>(runs + 1) / aServer.record_.slots_;
  choice.expectedSeconds_ = aServer.GetSecondsPerCall();
  choice.cost_ = choice.loadShare_ + kSecondCost * aServer.GetSecondsPerCall();
  return choice;
}

std::optional<PlacementChoice>
ServerPlacement::Choose(const ServerLoadTracker& aLoadTracker,
                        const PlacementRequest& aRequest,
                        Time aNow)
{
  const double spread =
    std::min(kLargestSpread,
             kSpreadPerDaemon * static_cast<double>(aLoadTracker.CountPeers()));
  std::optional<PlacementChoice> best;
  for (const auto& [id, server] : aLoadTracker.GetServers()) {
    if (!IsUsable(server, aRequest)) {
      continue;
    }
    auto choice = server.engine_
                    ? RateEngine(aLoadTracker, server, aRequest, aNow)
                    : RateService(server);
    if (!choice) {
      continue;
    }
    choice->cost_ += ComputePenalty(aLoadTracker, server, aRequest, aNow) +
                     spread * random_.DrawUnit();
    if (best && choice->cost_ >= best->cost_) {
      continue;
    }
    choice->server_ = id;
    choice->address_ = server.record_.address_;
    choice->runs_ = server.GetRuns();
    best = std::move(choice);
  }
  return best;
}

} // namespace azurecross

#include "StreamTiming.h"

namespace azurecross {

EngineSnapshot
EngineSnapshot::Take(const ServerLoad& aServer)
{
  return { aServer.record_.id_,
           aServer.GetRuns(),
           aServer.GetPendingPromptTokens(),
           aServer.GetSecondsPerToken() };
}

void
StreamTiming::RecordEvents(Time aArrival, Time aNow, const ServerLoad* aEngine)
{
  const EngineSnapshot engine =
    aEngine != nullptr ? EngineSnapshot::Take(*aEngine) : EngineSnapshot();
  if (!lastEvent_) {
    firstEventTime_ = aNow - aArrival;
    atFirstEvent_ = engine;
  } else {
    lastGap_ = aNow - *lastEvent_;
    if (lastGap_ > longestGap_) {
      longestGap_ = lastGap_;
      atLongestGap_ = engine;
    }
  }
  lastEvent_ = aNow;
}

std::optional<LateCause>
StreamTiming::FindCause(Duration aLatencyTarget, Duration aGapTarget) const
{
  const bool isFirstEventLate =
    aLatencyTarget > Duration::zero() && firstEventTime_ > aLatencyTarget;
  const bool isGapLate =
    aGapTarget > Duration::zero() && longestGap_ > aGapTarget;
  if (isFirstEventLate) {
    return isGapLate ? LateCause::FirstEventAndGap : LateCause::FirstEvent;
  }
  return isGapLate ? std::optional(LateCause::Gap) : std::nullopt;
}

} // namespace azurecross

#include "MovePlanner.h"

#include <algorithm>

namespace azurecross {

namespace {

/** An engine that goes away is expected to go on for this long: the shortest
 * notice given is 1.5 s, less the time until a daemon hears of it. */
constexpr double kNoticeSeconds = 1.2;
/** Runs with fewer tokens to go are not worth a move. */
constexpr double kFewestTokens = 16.0;
/** A copy of next to nothing takes a few milliseconds on a free link; a whole
 * one takes some 200 ms, so a longer time means that others are ahead. */
constexpr Duration kFreeLinkTime = std::chrono::milliseconds(60);

} // namespace

bool
MovePlanner::IsLinkFree(Duration aCopyTime)
{
  return aCopyTime <= kFreeLinkTime;
}

std::vector<PlannedMove>
MovePlanner::Plan(const ServerLoadTracker& aLoadTracker,
                  const BackendServerId& aLeaving)
{
  const ServerLoad* server = aLoadTracker.Find(aLeaving);
  std::vector<PlannedMove> moves;
  if (server == nullptr || !server->engine_ || !server->engine_->canMove_) {
    return moves;
  }
  for (const RunId run : aLoadTracker.FindRunsOn(aLeaving)) {
    const double remaining = aLoadTracker.PredictRemainingOutputOfRun(run);
    const bool endsInTime =
      remaining * server->GetSecondsPerToken() < kNoticeSeconds;
    if (remaining >= kFewestTokens && !endsInTime) {
      moves.push_back({ run, remaining });
    }
  }
  std::sort(moves.begin(),
            moves.end(),
            [](const PlannedMove& aLeft, const PlannedMove& aRight) {
              return aLeft.remainingTokens_ > aRight.remainingTokens_;
            });
  return moves;
}

} // namespace azurecross

#include "MovePlanner.h"

#include <algorithm>

namespace azurecross {

namespace {

/** Expected time until an engine that was given notice shuts down: the shortest
 * notice is 1.5 s, less the delay until a daemon learns of it. */
constexpr double kShutdownNoticeSeconds = 1.2;
/** Runs with fewer expected remaining tokens are not moved. */
constexpr double kMinimumRemainingTokens = 16.0;
/** An almost empty copy takes a few milliseconds on a free link, and a full
 * copy about 200 ms. A longer time means that other copies are queued ahead. */
constexpr Duration kMaximumFreeLinkCopyTime = std::chrono::milliseconds(60);

} // namespace

bool
MovePlanner::IsLinkFree(Duration aCopyTime)
{
  return aCopyTime <= kMaximumFreeLinkCopyTime;
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
      remaining * server->GetSecondsPerToken() < kShutdownNoticeSeconds;
    if (remaining >= kMinimumRemainingTokens && !endsInTime) {
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

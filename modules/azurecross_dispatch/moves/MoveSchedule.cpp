#include "MoveSchedule.h"

#include <algorithm>

namespace azurecross {

namespace {

/** An engine that goes away is expected to go on for this long: the shortest
 * notice given is 1.5 s, less the time until a daemon hears of it. */
constexpr double kNoticeSeconds = 1.2;
/** Runs with fewer tokens to go are not worth a move. */
constexpr double kFewestTokens = 16.0;

} // namespace

Duration
MoveSchedule::ComputeCopyTime(const EngineTraits& aEngine, double aTokens)
{
  if (aEngine.linkBitsPerSecond_ <= 0.0) {
    return Duration::zero();
  }
  constexpr double kBitsPerByte = 8.0;
  return FromSeconds(aTokens * static_cast<double>(aEngine.bytesPerToken_) *
                     kBitsPerByte / aEngine.linkBitsPerSecond_);
}

std::vector<PlannedMove>
MoveSchedule::Plan(const LoadBoard& aBoard,
                   const BackendServerId& aLeaving) const
{
  const ServerLoad* server = aBoard.Find(aLeaving);
  std::vector<PlannedMove> moves;
  if (server == nullptr || !server->engine_ || !server->engine_->canMove_) {
    return moves;
  }
  for (const RunNumber run : aBoard.FindRunsOn(aLeaving)) {
    const double remaining = aBoard.PredictRemaining(run);
    const bool endsInTime =
      remaining * server->secondsPerToken_ < kNoticeSeconds;
    if (remaining >= kFewestTokens && !endsInTime) {
      moves.push_back({ run, Duration::zero(), remaining });
    }
  }
  std::sort(moves.begin(),
            moves.end(),
            [](const PlannedMove& aLeft, const PlannedMove& aRight) {
              return aLeft.remainingTokens_ > aRight.remainingTokens_;
            });
  Duration turn{};
  for (const auto& [name, use] : aBoard.DescribePeerUse(aLeaving)) {
    if (name < daemon_) {
      turn += ComputeCopyTime(*server->engine_, use.memoryTokens_);
    }
  }
  for (PlannedMove& move : moves) {
    move.delay_ = turn;
  }
  return moves;
}

} // namespace azurecross

#pragma once

#include "../placement/LoadBoard.h"

#include <azurecross_core/azurecross_core.h>

#include <string>
#include <vector>

namespace azurecross {

/** One generation that leaves its engine, and when its copy begins. */
struct PlannedMove
{
  RunNumber run_ = 0;
  /** From now. */
  Duration delay_{};
  double remainingTokens_ = 0.0;
};

/**
 * Plans which of this daemon's generations leave an engine that goes away, and
 * in which order.
 *
 * Copies queue on the engine's link, and a run that has stopped for its last
 * copy waits behind all others. So the daemons take turns: each starts once
 * those with smaller names have had the time that their memory takes, which
 * all of them know from each other's reports.
 */
class MoveSchedule
{
public:
  /** @param aDaemon this daemon's name in the reports. */
  explicit MoveSchedule(std::string aDaemon)
    : daemon_(std::move(aDaemon))
  {
  }

  /** @returns the moves in order; runs that are expected to end in time are
   * left where they are. */
  std::vector<PlannedMove> Plan(const LoadBoard& aBoard,
                                const BackendServerId& aLeaving) const;

  /** @returns the time that a copy of this many tokens takes within a zone. */
  static Duration ComputeCopyTime(const EngineTraits& aEngine, double aTokens);

private:
  std::string daemon_;
};

} // namespace azurecross

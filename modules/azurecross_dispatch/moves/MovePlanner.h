#pragma once

#include "../placement/ServerLoadTracker.h"

#include <azurecross_core/azurecross_core.h>

#include <vector>

namespace azurecross {

/** One generation that leaves its engine. */
struct PlannedMove
{
  RunId run_ = 0;
  /** Output tokens that it is expected to still make. */
  double remainingTokens_ = 0.0;
};

/**
 * Plans which of this daemon's generations leave an engine that goes away.
 *
 * Copies queue on the engine's link. A generation that has stopped for the last
 * part of its copy waits behind the copies of all daemons, which its caller
 * sees as a pause. So a generation is stopped only once a repeated copy, which
 * carries next to nothing, has come back at once: the link is free then.
 */
class MovePlanner
{
public:
  /** @returns the moves, those with the most to lose first; runs that are
   * expected to end in time are left where they are. */
  static std::vector<PlannedMove> Plan(const ServerLoadTracker& aLoadTracker,
                                       const BackendServerId& aLeaving);

  /** @returns whether a generation whose last copy took this long can be
   * stopped now. */
  static bool IsLinkFree(Duration aCopyTime);
};

} // namespace azurecross

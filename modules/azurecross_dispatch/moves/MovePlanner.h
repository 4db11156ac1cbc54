#pragma once

#include "../placement/ServerLoadTracker.h"

#include <azurecross_core/azurecross_core.h>

#include <vector>

namespace azurecross {

/** A generation to be moved to another engine. */
struct PlannedMove
{
  RunId run_ = 0;
  /** Expected remaining output tokens. */
  double remainingTokens_ = 0.0;
};

/**
 * Selects the generations of this daemon to move from an engine that shuts
 * down.
 *
 * Copies queue on the engine's link. A generation that is stopped for the last
 * part of its copy waits behind the copies of all daemons, and its caller sees
 * a pause. A generation is therefore stopped only once a repeated, almost empty
 * copy has completed quickly, which shows that the link is free.
 */
class MovePlanner
{
public:
  /** @returns the runs to move, those with the most remaining output first.
   * Runs that are expected to end before the shutdown are omitted. */
  static std::vector<PlannedMove> Plan(const ServerLoadTracker& aLoadTracker,
                                       const BackendServerId& aLeaving);

  /** @returns whether the duration of the last copy shows that the link is
   * free, so that the generation can be stopped. */
  static bool IsLinkFree(Duration aCopyTime);
};

} // namespace azurecross

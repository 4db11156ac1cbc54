#pragma once

#include "../placement/ServerLoadTracker.h"
#include "ServerLimiter.h"

namespace azurecross {

/**
 * Paces the prompts that all daemons together send to one engine, at twice the
 * rate at which it reads them.
 *
 * An engine reads prompts one after the other. Without a common pace, all
 * daemons with waiting requests send to an engine at the moment at which it
 * registers or has room again, and the prompts queue there for seconds while
 * other engines have none. This covers demand near the capacity of the engines
 * while a part of them is being replaced.
 */
class PromptPacer
{
public:
  /** Sets the paces of the engines whose pools ask for that. */
  static void Update(const ServerLoadTracker& aTracker,
                     ServerLimiter& aLimiter);
  /** @returns the prompts per second that the engine gets. */
  static double ComputeRate(const ServerLoad& aEngine,
                            double aMeanPromptTokens);
};

} // namespace azurecross

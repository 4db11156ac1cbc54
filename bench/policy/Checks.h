#pragma once

#include "Figures.h"

#include <string>
#include <vector>

namespace azurecross::bench {

/**
 * Compares a run with the targets in design 1.8.
 * @returns one line for each target that is missed.
 */
std::vector<std::string>
CheckTargets(const Scenario& aScenario,
             const Figures& aPolicy,
             const Figures& aLeastOutstanding);

} // namespace azurecross::bench

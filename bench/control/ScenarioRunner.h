#pragma once

#include "Scenario.h"

#include <vector>

namespace azurecross {

/**
 * Runs each scenario in two processes of its own, the measured entry and its
 * feeder, so that the processor time and memory of the entry are its own.
 * Scenarios run at the same time.
 *
 * @returns one measurement for each scenario, in order.
 * @throws std::runtime_error if a process fails.
 */
std::vector<Measurement>
RunScenarios(const std::vector<Scenario>& aScenarios);

} // namespace azurecross

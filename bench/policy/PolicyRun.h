#pragma once

#include "Decision.h"
#include "Figures.h"

namespace azurecross::bench {

/** Runs one policy through a scenario. */
Figures
RunPolicy(const Scenario& aScenario,
          const std::vector<Arrival>& aArrivals,
          PolicyKind aKind,
          std::uint64_t aSeed);

} // namespace azurecross::bench

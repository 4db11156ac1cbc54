#pragma once

#include "BenchOptions.h"
#include "SharedResults.h"

namespace azurecross {

/** Runs an entry server in front of the engine source. Never returns. */
[[noreturn]] void
RunEntryUnderTest(std::uint16_t aEnginePort,
                  const BenchOptions& aOptions,
                  SharedResults& aResults);

} // namespace azurecross

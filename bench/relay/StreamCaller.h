#pragma once

#include "BenchOptions.h"
#include "SharedResults.h"

namespace azurecross {

/**
 * Opens all streams at a port, reads their tokens and checks that each comes
 * once and in order. Returns when all streams have ended.
 */
void
RunStreamCaller(std::uint16_t aPort,
                const BenchOptions& aOptions,
                std::uint64_t aTokensPerStream,
                SharedResults& aResults);

} // namespace azurecross

#pragma once

#include "BenchOptions.h"
#include "SharedResults.h"

namespace azurecross {

/**
 * Stands in for all engines: answers each request with an event stream and,
 * once all streams are open, sends their tokens in turn at an even pace. Each
 * token carries its number and the time at which it was sent. Never returns.
 */
[[noreturn]] void
RunEngineSource(int aListener,
                const BenchOptions& aOptions,
                std::uint64_t aTokensPerStream,
                SharedResults& aResults);

} // namespace azurecross

#pragma once

#include "BenchOptions.h"

#include <cstdint>

namespace azurecross {

/**
 * The floor: accepts connections, connects each to the engine source and
 * copies bytes both ways with one epoll loop per worker, one read and one
 * write for each arrival. Never returns.
 */
[[noreturn]] void
RunCopyLoop(int aListener,
            std::uint16_t aEnginePort,
            const BenchOptions& aOptions);

} // namespace azurecross

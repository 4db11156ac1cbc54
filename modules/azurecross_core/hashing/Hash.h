#pragma once

#include <cstdint>
#include <string_view>

namespace azurecross {

/**
 * Hashes bytes with XXH3; the result is the same on every machine, so that
 * entries agree on it.
 */
std::uint64_t
HashBytes(std::string_view aBytes, std::uint64_t aSeed = 0);

} // namespace azurecross

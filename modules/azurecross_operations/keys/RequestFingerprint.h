#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <string_view>

namespace azurecross {

/** @returns a hash that tells requests under the same key apart. */
inline std::uint64_t
ComputeFingerprint(std::string_view aMethod,
                   std::string_view aTarget,
                   std::string_view aBody)
{
  return HashBytes(aBody, HashBytes(aTarget, HashBytes(aMethod)));
}

} // namespace azurecross

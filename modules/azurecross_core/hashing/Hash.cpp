#include "Hash.h"

#include <xxhash.h>

namespace azurecross {

std::uint64_t
HashBytes(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

} // namespace azurecross

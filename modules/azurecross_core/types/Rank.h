#pragma once

#include "NameTable.h"

#include <cstddef>

namespace azurecross {

/** The rank of a route's requests; urgent work is served first. */
enum class Rank
{
  Urgent,
  Lesser,
};

inline constexpr std::size_t kRankCount = 2;

inline constexpr NameTable<Rank, kRankCount> kRankNames{
  { { { Rank::Urgent, "urgent" }, { Rank::Lesser, "lesser" } } }
};

} // namespace azurecross

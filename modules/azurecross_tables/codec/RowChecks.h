#pragma once

#include "../rows/Pool.h"
#include "../rows/Route.h"
#include "TableProblem.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace azurecross {

/** Longest name of a row, model, adapter, version, customer or zone. */
inline constexpr std::size_t kMostNameBytes = 128;
inline constexpr std::size_t kMostPathPrefixBytes = 1024;
/** Longest list of a row. */
inline constexpr std::size_t kMostListEntries = 10'000;
/** Bounds the index entries, one for each pair of customer and model. */
inline constexpr std::size_t kMostMatchPairs = 20'000;
inline constexpr std::chrono::milliseconds kLeastDeadline{ 1 };
inline constexpr std::chrono::milliseconds kMostDeadline{ 86'400'000 };
inline constexpr std::int64_t kMostPriorityOrder = 1'000'000;
inline constexpr std::int64_t kMostMemoryTokens = 1'000'000'000;
inline constexpr std::int64_t kMostMaxConcurrent = 100'000;

/** Adds what is wrong with the values of one route. */
void
CheckRoute(const Route& aRoute,
           const std::string& aRow,
           TableProblems& aProblems);

/** Adds what is wrong with the values of one pool. */
void
CheckPool(const Pool& aPool, const std::string& aRow, TableProblems& aProblems);

} // namespace azurecross

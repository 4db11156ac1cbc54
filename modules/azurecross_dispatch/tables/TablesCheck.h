#pragma once

#include "ServingTables.h"

#include <string>
#include <vector>

namespace azurecross {

enum class CheckLevel
{
  /** The tables would be rejected, or requests would fail that should not. */
  Error,
  /** An entry that has no effect, or limits that contradict each other. */
  Warning,
  /** A difference from the version in force. */
  Change,
};

inline constexpr NameTable<CheckLevel, 3> kCheckLevelNames{
  { { { CheckLevel::Error, "error" },
      { CheckLevel::Warning, "warning" },
      { CheckLevel::Change, "change" } } }
};

/** What a check says about one entry of the tables. */
struct CheckFinding
{
  CheckLevel level_ = CheckLevel::Error;
  /** The kind and the name of the entry, for example `route plan`. */
  std::string entry_;
  std::string message_;

  friend bool operator==(const CheckFinding&, const CheckFinding&) = default;
};

/** Checks tables before they are put in force.
 * @returns errors, entries that never match, and limits that contradict each
 * other. */
std::vector<CheckFinding>
CheckTables(const ServingTables::Content& aTables);

/** @returns how tables differ from those in force. Keys are counted, their
 * texts are not part of the result. */
std::vector<CheckFinding>
CompareTables(const ServingTables::Content& aInForce,
              const ServingTables::Content& aProposed);

} // namespace azurecross

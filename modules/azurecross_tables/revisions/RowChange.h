#pragma once

#include <azurecross_core/azurecross_core.h>

#include <optional>
#include <string>

namespace azurecross {

/** One of the two tables. */
enum class TableKind
{
  Routes,
  Pools,
};

inline constexpr NameTable<TableKind, 2> kTableKindNames{
  { { { TableKind::Routes, "routes" }, { TableKind::Pools, "pools" } } }
};

/** A row that an edit sets or deletes. */
struct RowChange
{
  TableKind table_ = TableKind::Routes;
  std::string name_;
  /** The row as JSON; nothing if the row is deleted. */
  std::optional<std::string> value_;

  friend bool operator==(const RowChange&, const RowChange&) = default;
};

/** @returns the row's name for messages, such as `routes/chat`. */
inline std::string
FormatRowName(TableKind aTable, const std::string& aName)
{
  return std::string(kTableKindNames.FindName(aTable)) + "/" + aName;
}

} // namespace azurecross

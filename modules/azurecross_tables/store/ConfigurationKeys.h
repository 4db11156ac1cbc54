#pragma once

#include "../revisions/RowChange.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azurecross {

/**
 * Names of the store's keys below `azurecross/config/`: `head`,
 * `routes/<name>`, `pools/<name>` and `audit/<revision>`.
 */
inline constexpr std::string_view kConfigurationPrefix = "azurecross/config/";
inline constexpr std::string_view kHeadKey = "azurecross/config/head";
inline constexpr std::string_view kAuditPrefix = "azurecross/config/audit/";

/** @returns the prefix of a table's rows. */
std::string
MakeTablePrefix(TableKind aTable);

std::string
MakeRowKey(TableKind aTable, std::string_view aName);

/** @returns the key of an audit entry; the number has leading zeros, so that
 * the store's order is that of the revisions. */
std::string
MakeAuditKey(std::int64_t aRevision);

/** @returns the end of the range of all keys with a prefix. */
std::string
MakeRangeEnd(std::string_view aPrefix);

/** The table and the name of a row. */
struct RowName
{
  TableKind table_ = TableKind::Routes;
  std::string name_;
};

/** @returns the row that a key belongs to, or nothing. */
std::optional<RowName>
ParseRowKey(std::string_view aKey);

} // namespace azurecross

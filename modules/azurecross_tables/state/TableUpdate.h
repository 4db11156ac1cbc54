#pragma once

#include "TableDelta.h"
#include "TableSnapshot.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace azurecross {

/**
 * What one entry sends another to bring its tables up to date: a chain of
 * deltas in rising order, or all rows.
 */
using TableUpdate = std::variant<std::vector<TableDelta>, TableSnapshot>;

/** @returns the update as bytes for a peer message. */
std::string
SerializeTableUpdate(const TableUpdate& aUpdate);

Result<TableUpdate>
ParseTableUpdate(std::string_view aBytes);

} // namespace azurecross

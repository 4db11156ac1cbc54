#pragma once

#include "../rows/Pool.h"
#include "../rows/Route.h"
#include "TableProblem.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurecross {

/** The rows of both tables, as operators edit them in one file. */
struct TableDocument
{
  std::vector<Route> routes_;
  std::vector<Pool> pools_;
  /** The revision that the operator started from, if the file states it. */
  std::optional<std::int64_t> revision_;

  friend bool operator==(const TableDocument&, const TableDocument&) = default;
};

/**
 * Reads one row. Fields that are left out get their defaults; unknown fields,
 * wrong types and values out of range are refused. Checks across rows are made
 * by `Tables::Make`.
 * @param aName the name in the store's key, which the row must bear.
 */
Result<Route>
ParseRoute(std::string_view aName, std::string_view aText);

/** @see ParseRoute */
Result<Pool>
ParsePool(std::string_view aName, std::string_view aText);

/** @returns the row as JSON, with all fields in a fixed order. */
std::string
SerializeRoute(const Route& aRoute);

/** @see SerializeRoute */
std::string
SerializePool(const Pool& aPool);

/** Reads `{"revision":n,"routes":[...],"pools":[...]}`, each of them optional;
 * refuses duplicate names. */
Result<TableDocument>
ParseDocument(std::string_view aText);

/** @returns the document as JSON with one row per line. */
std::string
SerializeDocument(const TableDocument& aDocument);

} // namespace azurecross

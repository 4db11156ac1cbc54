#pragma once

#include <azurecross_tables/azurecross_tables.h>

#include <string>
#include <vector>

namespace azurecross {

/** @returns an engine pool with the model `paint`. */
Pool
MakePool(const std::string& aName);

/** @returns a generation route to a pool. */
Route
MakeRoute(const std::string& aName, const std::string& aPool);

RowChange
SetRoute(const Route& aRoute);
RowChange
SetPool(const Pool& aPool);

/** An in-memory store of tables, for tests of the state machine. */
class TestStore
{
public:
  /** Writes an edit as the tool would; @returns its delta. */
  TableDelta Edit(const std::string& aEditId,
                  const std::vector<RowChange>& aChanges);

  /** @returns what a reader with this revision in force would read. */
  TableSnapshot Read(const TableRevision& aReader = {}) const;

  TableSnapshot snapshot_;
  std::vector<TableRevision> history_;
};

} // namespace azurecross

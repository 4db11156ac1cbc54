#pragma once

#include "../revisions/RowChange.h"
#include "../revisions/TableRevision.h"
#include "../store/KeyValue.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurecross {

/** What changes between two revisions; between neighbours, one edit. */
struct TableDelta
{
  /** The number and edit that the rows must be at. */
  std::int64_t baseNumber_ = 0;
  std::string baseEditId_;
  /** The revision that the rows are at afterwards. */
  TableRevision revision_;
  std::vector<RowChange> changes_;

  friend bool operator==(const TableDelta&, const TableDelta&) = default;
};

/** What the events of a watch amount to. */
struct TableEvents
{
  std::vector<TableDelta> deltas_;
  /** Keys that were written without a new `head`, past the tool. */
  std::vector<std::string> strayKeys_;
  /** Set if a `head` was deleted or can't be read; the reader has to read all
   * rows again. */
  std::string problem_;
};

/**
 * Groups events by store revision. All writes of one edit have the same one,
 * because an edit is one transaction.
 */
TableEvents
MakeTableEvents(const std::vector<KeyEvent>& aEvents);

} // namespace azurecross

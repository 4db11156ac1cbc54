#pragma once

#include "../revisions/TableRevision.h"
#include "../store/KeyValue.h"
#include "../tables/TableRows.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace azurecross {

/** All rows at one revision, from the store or from a peer. */
struct TableSnapshot
{
  TableRevision revision_;
  TableRows rows_;
  /** The store revision at which the rows were read; 0 from a peer. */
  std::int64_t storeRevision_ = 0;
  /** The store revision of the last write of `head`; 0 if there is none. */
  std::int64_t headModRevision_ = 0;
  /**
   * The store's record of the revision that the reader holds, if the store
   * still has it. Shows whether this snapshot descends from that revision.
   */
  std::optional<TableRevision> ancestor_;
};

/**
 * Builds a snapshot from the store's keys: `head`, the rows and at most one
 * audit entry, which becomes the ancestor. A row that is not valid is kept for
 * the check by `Tables::Make`.
 */
Result<TableSnapshot>
MakeSnapshot(const std::vector<KeyValue>& aKeyValues,
             std::int64_t aStoreRevision);

} // namespace azurecross

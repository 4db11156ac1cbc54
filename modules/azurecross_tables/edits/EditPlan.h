#pragma once

#include "../state/TableSnapshot.h"
#include "../store/KeyValue.h"
#include "../tables/Tables.h"
#include "AuditEntry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azurecross {

/** What the store accepts in one value. */
inline constexpr std::size_t kMostValueBytes = std::size_t{ 1 } << 20;
/**
 * The store refuses a transaction of more than 128 operations by default; an
 * edit also writes `head` and the audit entry and deletes old entries.
 */
inline constexpr std::size_t kMostRowsPerEdit = 100;
/** How many audit entries the store keeps. */
inline constexpr std::int64_t kAuditEntries = 1000;

/** An edit that an operator asks for. */
struct EditRequest
{
  std::string author_;
  /** Unique; settles later whether the edit took effect. */
  std::string editId_;
  std::int64_t unixMilliseconds_ = 0;
  std::vector<RowChange> changes_;
  /** The revision that the operator started from; a newer one is a conflict. */
  std::optional<std::int64_t> baseRevision_;
  /** The highest revision that a reachable entry has; an older or forked store
   * is not written. */
  std::optional<TableRevision> knownRevision_;
  /** Takes over rows that were written past the tool. */
  bool acceptsStoreRows_ = false;
  /**
   * Writes to a store that is older than `knownRevision_`, or forked from it,
   * and numbers the edit after both, so that entries accept it.
   */
  bool recoversStore_ = false;
};

/** An edit checked against the tables at head, ready to be written. */
class EditPlan
{
public:
  /**
   * Checks an edit against a store snapshot.
   * @returns the plan; `invalid_tables` with each row and reason, or
   * `edit_conflict` if the store is older than a known revision.
   */
  static Result<EditPlan> Make(const TableSnapshot& aBase,
                               const EditRequest& aRequest);

  /** @returns whether the rows are already as the edit asks for. */
  bool IsEmpty() const { return audit_.changes_.empty(); }

  /** @returns the tables as they are after the edit. */
  const Tables::Version& GetTables() const { return tables_; }
  const AuditEntry& GetAudit() const { return audit_; }
  /** @returns the `head` mod revision that the transaction compares. */
  std::int64_t GetHeadModRevision() const { return headModRevision_; }
  /** @returns the keys to write, with `head` and the audit entry. */
  const std::vector<KeyValue>& GetPuts() const { return puts_; }
  /** @returns the keys to delete. */
  const std::vector<std::string>& GetDeletes() const { return deletes_; }
  /** @returns the end of the range of audit entries to delete, or nothing. */
  std::optional<std::string> FindAuditEnd() const;

private:
  Result<void> AddWrites();

  Tables::Version tables_;
  AuditEntry audit_;
  std::int64_t headModRevision_ = 0;
  std::vector<KeyValue> puts_;
  std::vector<std::string> deletes_;
};

} // namespace azurecross

#pragma once

#include "../revisions/RowChange.h"
#include "../revisions/TableRevision.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurecross {

/** A row before and after an edit; nothing where there is no row. */
struct AuditChange
{
  TableKind table_ = TableKind::Routes;
  std::string name_;
  std::optional<std::string> old_;
  std::optional<std::string> new_;

  friend bool operator==(const AuditChange&, const AuditChange&) = default;
};

/** The record of one accepted edit: who, when and what changed. */
struct AuditEntry
{
  TableRevision revision_;
  std::string author_;
  /** Milliseconds since the Unix epoch, by the operator's clock. */
  std::int64_t unixMilliseconds_ = 0;
  std::vector<AuditChange> changes_;

  friend bool operator==(const AuditEntry&, const AuditEntry&) = default;
};

/** Reads the value of an `audit/<revision>` key. */
Result<AuditEntry>
ParseAuditEntry(std::string_view aText);

std::string
SerializeAuditEntry(const AuditEntry& aEntry);

/** @returns one line per row, with the fields that differ. */
std::string
DescribeChanges(const std::vector<AuditChange>& aChanges);

} // namespace azurecross

#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace azurecross {

/**
 * A version of the tables, as the store's `head` states it. Revision 0 is the
 * empty store before the first edit.
 */
struct TableRevision
{
  /** Increases by one with each edit. */
  std::int64_t number_ = 0;
  /** The edit that made this revision; unique. */
  std::string editId_;
  /** The edit before it; tells a forked store from a newer one. */
  std::string parentEditId_;
  /**
   * Covers all rows, so that a row written past the tool and an entry with
   * other rows are detected. @see TableRows::ComputeDigest
   */
  std::uint64_t rowsDigest_ = 0;

  friend bool operator==(const TableRevision&, const TableRevision&) = default;
};

/** @returns whether both name the same edit. */
inline bool
IsSameEdit(const TableRevision& aLeft, const TableRevision& aRight)
{
  return aLeft.number_ == aRight.number_ && aLeft.editId_ == aRight.editId_;
}

/** Reads the value of the store's `head` key. */
Result<TableRevision>
ParseTableRevision(std::string_view aText);

std::string
SerializeTableRevision(const TableRevision& aRevision);

/** @returns the revision for messages, such as `revision 7 (edit 3f2a...)`. */
std::string
DescribeRevision(const TableRevision& aRevision);

} // namespace azurecross

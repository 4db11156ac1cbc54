#pragma once

#include "StoreClient.h"

#include <cstdint>
#include <vector>

namespace azurecross {

/**
 * @returns a transaction that reads `head` and all rows as of one moment, and
 * the audit entry of a revision if its number is not 0.
 */
Transaction
MakeSnapshotTransaction(std::int64_t aAncestor);

/** @returns the snapshot that the answer of that transaction holds. */
Result<TableSnapshot>
ReadSnapshotAnswer(const TransactionAnswer& aAnswer);

/**
 * Reads all rows of the tables; one call.
 * @param aAncestor the revision that the reader has in force, or 0; the
 * snapshot then shows whether it descends from it.
 */
template<StoreClient Client>
StoreCall<TableSnapshot>
ReadTableSnapshot(Client& aClient, std::int64_t aAncestor)
{
  Transaction transaction = MakeSnapshotTransaction(aAncestor);
  const auto answer = co_await aClient.Commit(std::move(transaction));
  if (answer.has_error()) {
    co_return answer.error();
  }
  co_return CaptureResult([&] { return ReadSnapshotAnswer(*answer); });
}

/** The newest audit entries, newest first; one call. */
template<StoreClient Client>
StoreCall<std::vector<AuditEntry>>
ReadAuditEntries(Client& aClient, std::int64_t aLimit)
{
  RangeRequest request;
  request.key_ = std::string(kAuditPrefix);
  request.rangeEnd_ = MakeRangeEnd(kAuditPrefix);
  request.limit_ = aLimit;
  request.isDescending_ = true;
  const auto answer = co_await aClient.Range(std::move(request));
  if (answer.has_error()) {
    co_return answer.error();
  }
  std::vector<AuditEntry> entries;
  for (const KeyValue& keyValue : answer->keyValues_) {
    auto entry =
      CaptureResult([&] { return ParseAuditEntry(keyValue.value_); });
    if (entry.has_error()) {
      co_return entry.error();
    }
    entries.push_back(std::move(*entry));
  }
  co_return entries;
}

} // namespace azurecross

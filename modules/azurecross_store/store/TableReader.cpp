#include "TableReader.h"

namespace azurecross {

Transaction
MakeSnapshotTransaction(std::int64_t aAncestor)
{
  Transaction transaction;
  const auto addRange = [&](std::string aKey, std::string aRangeEnd) {
    RangeRequest range;
    range.key_ = std::move(aKey);
    range.rangeEnd_ = std::move(aRangeEnd);
    transaction.success_.emplace_back(std::move(range));
  };
  addRange(std::string(kHeadKey), "");
  for (const TableKind table : { TableKind::Routes, TableKind::Pools }) {
    const std::string prefix = MakeTablePrefix(table);
    addRange(prefix, MakeRangeEnd(prefix));
  }
  if (aAncestor > 0) {
    addRange(MakeAuditKey(aAncestor), "");
  }
  return transaction;
}

Result<TableSnapshot>
ReadSnapshotAnswer(const TransactionAnswer& aAnswer)
{
  std::vector<KeyValue> keyValues;
  for (const RangeAnswer& range : aAnswer.ranges_) {
    keyValues.insert(
      keyValues.end(), range.keyValues_.begin(), range.keyValues_.end());
  }
  return MakeSnapshot(keyValues, aAnswer.storeRevision_);
}

} // namespace azurecross

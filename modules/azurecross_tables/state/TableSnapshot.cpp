#include "TableSnapshot.h"

#include "../edits/AuditEntry.h"
#include "../store/ConfigurationKeys.h"

namespace azurecross {

Result<TableSnapshot>
MakeSnapshot(const std::vector<KeyValue>& aKeyValues,
             std::int64_t aStoreRevision)
{
  TableSnapshot snapshot;
  snapshot.storeRevision_ = aStoreRevision;
  for (const KeyValue& keyValue : aKeyValues) {
    if (keyValue.key_ == kHeadKey) {
      BOOST_LEAF_ASSIGN(snapshot.revision_,
                        ParseTableRevision(keyValue.value_));
      snapshot.headModRevision_ = keyValue.modRevision_;
    } else if (const auto row = ParseRowKey(keyValue.key_)) {
      snapshot.rows_.Apply({ row->table_, row->name_, keyValue.value_ });
    } else if (keyValue.key_.starts_with(kAuditPrefix)) {
      BOOST_LEAF_AUTO(entry, ParseAuditEntry(keyValue.value_));
      snapshot.ancestor_ = entry.revision_;
    }
  }
  return snapshot;
}

} // namespace azurecross

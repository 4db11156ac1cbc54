#include "TableDelta.h"

#include "../store/ConfigurationKeys.h"

#include <map>
#include <optional>

namespace azurecross {

namespace {

struct EventGroup
{
  std::optional<KeyEvent> head_;
  std::vector<RowChange> changes_;
};

std::map<std::int64_t, EventGroup>
GroupEvents(const std::vector<KeyEvent>& aEvents)
{
  std::map<std::int64_t, EventGroup> groups;
  for (const KeyEvent& event : aEvents) {
    const KeyValue& keyValue = event.keyValue_;
    if (keyValue.key_ == kHeadKey) {
      groups[keyValue.modRevision_].head_ = event;
    } else if (const auto row = ParseRowKey(keyValue.key_)) {
      RowChange change{ row->table_, row->name_, std::nullopt };
      if (!event.isDelete_) {
        change.value_ = keyValue.value_;
      }
      groups[keyValue.modRevision_].changes_.push_back(std::move(change));
    }
  }
  return groups;
}

void
AppendDelta(EventGroup&& aGroup, TableEvents& aEvents)
{
  if (aGroup.head_->isDelete_) {
    aEvents.problem_ = "head was deleted";
    return;
  }
  auto revision = CaptureResult(
    [&] { return ParseTableRevision(aGroup.head_->keyValue_.value_); });
  if (revision.has_error()) {
    aEvents.problem_ = revision.error().message_;
    return;
  }
  TableDelta delta;
  delta.baseNumber_ = revision->number_ - 1;
  delta.baseEditId_ = revision->parentEditId_;
  delta.revision_ = std::move(*revision);
  delta.changes_ = std::move(aGroup.changes_);
  aEvents.deltas_.push_back(std::move(delta));
}

} // namespace

TableEvents
MakeTableEvents(const std::vector<KeyEvent>& aEvents)
{
  TableEvents events;
  for (auto& [storeRevision, group] : GroupEvents(aEvents)) {
    if (group.head_) {
      AppendDelta(std::move(group), events);
      continue;
    }
    for (const RowChange& change : group.changes_) {
      events.strayKeys_.push_back(MakeRowKey(change.table_, change.name_));
    }
  }
  return events;
}

} // namespace azurecross

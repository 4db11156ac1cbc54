#include "DeltaChain.h"

#include <algorithm>

namespace azurecross {

namespace {

std::size_t
CountBytes(const TableDelta& aDelta)
{
  std::size_t bytes = 0;
  for (const RowChange& change : aDelta.changes_) {
    bytes += change.name_.size();
    bytes += change.value_ ? change.value_->size() : 0;
  }
  return bytes;
}

} // namespace

void
DeltaChain::Append(TableDelta aDelta)
{
  bytes_ += CountBytes(aDelta);
  deltas_.push_back(std::move(aDelta));
  while (deltas_.size() > limits_.mostDeltas_ || bytes_ > limits_.mostBytes_) {
    bytes_ -= CountBytes(deltas_.front());
    deltas_.pop_front();
    if (deltas_.empty()) {
      return;
    }
  }
}

std::optional<std::string>
DeltaChain::FindEditId(std::int64_t aNumber) const
{
  for (const TableDelta& delta : deltas_) {
    if (delta.baseNumber_ == aNumber) {
      return delta.baseEditId_;
    }
    if (delta.revision_.number_ == aNumber) {
      return delta.revision_.editId_;
    }
  }
  return std::nullopt;
}

std::vector<TableDelta>
DeltaChain::CollectAfter(std::int64_t aNumber) const
{
  const auto first = std::find_if(
    deltas_.begin(), deltas_.end(), [aNumber](const TableDelta& aDelta) {
      return aDelta.baseNumber_ == aNumber;
    });
  return { first, deltas_.end() };
}

} // namespace azurecross

#include "ClaimWriter.h"

#include <set>
#include <string>

namespace azurecross {

ClaimWriter::ClaimWriter(ClaimWriterLimits aLimits)
  : limits_(aLimits)
{
}

void
ClaimWriter::Add(ClaimWrite aWrite)
{
  queue_.insert_or_assign(aWrite.id_, std::move(aWrite));
}

void
ClaimWriter::Withdraw(std::uint64_t aWrite)
{
  if (queue_.erase(aWrite) > 0) {
    return;
  }
  for (auto& entry : inFlight_) {
    entry.second.withdrawn_.insert(aWrite);
  }
}

std::optional<ClaimBatch>
ClaimWriter::TakeBatch(Time aNow)
{
  if (queue_.empty() || inFlight_.size() >= limits_.inFlightLimit_) {
    return std::nullopt;
  }
  ClaimBatch batch;
  batch.id_ = nextBatch_++;
  std::set<std::string> storeKeys;
  std::size_t bytes = 0;
  for (auto entry = queue_.begin(); entry != queue_.end();) {
    ClaimWrite& write = entry->second;
    const std::size_t size = write.storeKey_.size() + write.value_.size();
    const bool fits =
      batch.writes_.empty() || (batch.writes_.size() < limits_.batchLimit_ &&
                                bytes + size <= limits_.batchLimitBytes_);
    // The store refuses two writes of one key in a transaction.
    if (!fits || !storeKeys.insert(write.storeKey_).second) {
      ++entry;
      continue;
    }
    bytes += size;
    batch.writes_.push_back(std::move(write));
    entry = queue_.erase(entry);
  }
  inFlight_[batch.id_] = { batch, aNow, {} };
  return batch;
}

std::optional<ClaimBatch>
ClaimWriter::TakeResults(std::uint64_t aBatch,
                         std::vector<ClaimWriteResult>& aResults)
{
  const auto found = inFlight_.find(aBatch);
  if (found == inFlight_.end() ||
      found->second.batch_.writes_.size() != aResults.size()) {
    return std::nullopt;
  }
  ClaimBatch taken;
  taken.id_ = aBatch;
  std::vector<ClaimWriteResult> results;
  std::vector<ClaimWrite>& writes = found->second.batch_.writes_;
  for (std::size_t index = 0; index < writes.size(); ++index) {
    if (aResults[index].outcome_ == ClaimWriteOutcome::NotApplied) {
      if (!found->second.withdrawn_.contains(writes[index].id_)) {
        Add(std::move(writes[index]));
      }
      continue;
    }
    taken.writes_.push_back(std::move(writes[index]));
    results.push_back(std::move(aResults[index]));
  }
  inFlight_.erase(found);
  aResults = std::move(results);
  return taken;
}

std::vector<ClaimBatch>
ClaimWriter::TakeOverdue(Time aNow)
{
  std::vector<ClaimBatch> overdue;
  for (auto entry = inFlight_.begin(); entry != inFlight_.end();) {
    if (aNow - entry->second.sentAt_ < limits_.answerTimeout_) {
      ++entry;
      continue;
    }
    overdue.push_back(std::move(entry->second.batch_));
    entry = inFlight_.erase(entry);
  }
  return overdue;
}

} // namespace azurecross

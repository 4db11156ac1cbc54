#include "StandinStore.h"

#include <algorithm>
#include <set>

namespace azurecross {

namespace {

// etcd's defaults.
constexpr std::size_t kMostOperations = 128;
constexpr std::size_t kMostPutBytes = std::size_t{ 1 } << 20;
// Bounds the memory of a long run.
constexpr std::size_t kMostEvents = 100'000;

boost::leaf::error_id
Refuse(std::string aMessage)
{
  return MakeFailure(
    ErrorCode::InvalidRequest, Verdict::NotRun, std::move(aMessage));
}

/** Whether a key is in a range; an end of one zero byte means no end. */
bool
IsInRange(const std::string& aKey,
          const std::string& aBegin,
          const std::string& aEnd)
{
  if (aEnd.empty()) {
    return aKey == aBegin;
  }
  return aKey >= aBegin && (aEnd == std::string(1, '\0') || aKey < aEnd);
}

} // namespace

Result<RangeAnswer>
StandinStore::Range(const RangeRequest& aRequest) const
{
  if (aRequest.revision_ > revision_) {
    return Refuse("etcdserver: mvcc: required revision is a future revision");
  }
  if (aRequest.revision_ != 0 && aRequest.revision_ != revision_) {
    // Older revisions are not kept.
    return Refuse("etcdserver: mvcc: required revision has been compacted");
  }
  RangeAnswer answer;
  answer.storeRevision_ = revision_;
  for (auto at = keyValues_.lower_bound(aRequest.key_);
       at != keyValues_.end() &&
       IsInRange(at->first, aRequest.key_, aRequest.rangeEnd_);
       ++at) {
    answer.keyValues_.push_back(at->second);
  }
  if (aRequest.isDescending_) {
    std::reverse(answer.keyValues_.begin(), answer.keyValues_.end());
  }
  const auto limit = static_cast<std::size_t>(aRequest.limit_);
  if (limit != 0 && answer.keyValues_.size() > limit) {
    answer.keyValues_.resize(limit);
    answer.hasMore_ = true;
  }
  return answer;
}

bool
StandinStore::Holds(const Compare& aCompare) const
{
  const auto found = keyValues_.find(aCompare.key_);
  if (found == keyValues_.end()) {
    return aCompare.value_ == 0;
  }
  switch (aCompare.target_) {
    case CompareTarget::ModRevision:
      return found->second.modRevision_ == aCompare.value_;
    case CompareTarget::CreateRevision:
      return found->second.createRevision_ == aCompare.value_;
    case CompareTarget::Lease:
      return found->second.lease_ == aCompare.value_;
  }
  return false;
}

Result<void>
StandinStore::Check(const std::vector<StoreOperation>& aOperations) const
{
  if (aOperations.size() > kMostOperations) {
    return Refuse("etcdserver: too many operations in txn request");
  }
  std::set<std::string> keys;
  for (const StoreOperation& operation : aOperations) {
    const auto* put = std::get_if<PutRequest>(&operation);
    if (put == nullptr) {
      continue;
    }
    if (!keys.insert(put->key_).second) {
      return Refuse("etcdserver: duplicate key given in txn request");
    }
    if (put->value_.size() > kMostPutBytes) {
      return Refuse("etcdserver: request is too large");
    }
    if (put->lease_.GetValue() != 0 && !leases_.contains(put->lease_)) {
      return Refuse("etcdserver: requested lease not found");
    }
  }
  return {};
}

Result<TransactionAnswer>
StandinStore::Commit(const Transaction& aTransaction)
{
  BOOST_LEAF_CHECK(Check(aTransaction.success_));
  BOOST_LEAF_CHECK(Check(aTransaction.failure_));
  TransactionAnswer answer;
  answer.succeeded_ =
    std::all_of(aTransaction.compares_.begin(),
                aTransaction.compares_.end(),
                [this](const Compare& aCompare) { return Holds(aCompare); });
  const std::int64_t next = revision_ + 1;
  bool hasWritten = false;
  for (const StoreOperation& operation :
       answer.succeeded_ ? aTransaction.success_ : aTransaction.failure_) {
    RangeAnswer range;
    if (const auto* put = std::get_if<PutRequest>(&operation)) {
      Put(*put, next);
      hasWritten = true;
    } else if (const auto* deletion = std::get_if<DeleteRequest>(&operation)) {
      hasWritten = Delete(*deletion, next) || hasWritten;
    } else {
      BOOST_LEAF_ASSIGN(range, Range(std::get<RangeRequest>(operation)));
    }
    answer.ranges_.push_back(std::move(range));
  }
  revision_ = hasWritten ? next : revision_;
  answer.storeRevision_ = revision_;
  return answer;
}

void
StandinStore::Put(const PutRequest& aRequest, std::int64_t aRevision)
{
  KeyValue& keyValue = keyValues_[aRequest.key_];
  if (keyValue.createRevision_ == 0) {
    keyValue.createRevision_ = aRevision;
  }
  keyValue.key_ = aRequest.key_;
  keyValue.value_ = aRequest.value_;
  keyValue.modRevision_ = aRevision;
  keyValue.lease_ = aRequest.lease_.GetValue();
  Record({ false, keyValue });
}

bool
StandinStore::Delete(const DeleteRequest& aRequest, std::int64_t aRevision)
{
  bool hasDeleted = false;
  auto at = keyValues_.lower_bound(aRequest.key_);
  while (at != keyValues_.end() &&
         IsInRange(at->first, aRequest.key_, aRequest.rangeEnd_)) {
    KeyEvent event;
    event.isDelete_ = true;
    event.keyValue_.key_ = at->first;
    event.keyValue_.modRevision_ = aRevision;
    Record(std::move(event));
    at = keyValues_.erase(at);
    hasDeleted = true;
  }
  return hasDeleted;
}

void
StandinStore::Record(KeyEvent aEvent)
{
  events_.push_back(std::move(aEvent));
  if (events_.size() > kMostEvents) {
    Compact(events_.front().keyValue_.modRevision_ + 1);
  }
}

LeaseAnswer
StandinStore::GrantLease(std::chrono::seconds aTimeToLive, Time aNow)
{
  const LeaseId id(++lastLease_);
  leases_[id] = { aTimeToLive, aNow + aTimeToLive };
  return { id, aTimeToLive };
}

LeaseAnswer
StandinStore::KeepLease(LeaseId aLease, Time aNow)
{
  const auto found = leases_.find(aLease);
  if (found == leases_.end()) {
    return { aLease, std::chrono::seconds(0) };
  }
  found->second.expiry_ = aNow + found->second.timeToLive_;
  return { aLease, found->second.timeToLive_ };
}

Result<LeaseAnswer>
StandinStore::RevokeLease(LeaseId aLease)
{
  if (leases_.erase(aLease) == 0) {
    return MakeFailure(ErrorCode::OperationUnknown,
                       Verdict::NotRun,
                       "etcdserver: requested lease not found");
  }
  DeleteLeaseKeys(aLease);
  return LeaseAnswer{ aLease, std::chrono::seconds(0) };
}

void
StandinStore::ExpireLeases(Time aNow)
{
  for (auto at = leases_.begin(); at != leases_.end();) {
    if (at->second.expiry_ > aNow) {
      ++at;
      continue;
    }
    const LeaseId expired = at->first;
    at = leases_.erase(at);
    DeleteLeaseKeys(expired);
  }
}

void
StandinStore::DeleteLeaseKeys(LeaseId aLease)
{
  std::vector<std::string> keys;
  for (const auto& [key, keyValue] : keyValues_) {
    if (keyValue.lease_ == aLease.GetValue()) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Delete({ key, "" }, revision_ + 1);
  }
  revision_ += keys.empty() ? 0 : 1;
}

std::vector<KeyEvent>
StandinStore::CollectEvents(const WatchRequest& aRequest) const
{
  std::vector<KeyEvent> events;
  const auto first =
    std::lower_bound(events_.begin(),
                     events_.end(),
                     aRequest.startRevision_,
                     [](const KeyEvent& aEvent, std::int64_t aRevision) {
                       return aEvent.keyValue_.modRevision_ < aRevision;
                     });
  for (auto at = first; at != events_.end(); ++at) {
    if (IsInRange(at->keyValue_.key_, aRequest.key_, aRequest.rangeEnd_)) {
      events.push_back(*at);
    }
  }
  return events;
}

void
StandinStore::Compact(std::int64_t aRevision)
{
  compactRevision_ = std::max(compactRevision_, aRevision);
  while (!events_.empty() &&
         events_.front().keyValue_.modRevision_ < compactRevision_) {
    events_.pop_front();
  }
}

StandinStore::Backup
StandinStore::MakeBackup() const
{
  return { keyValues_, revision_, lastLease_ };
}

void
StandinStore::Restore(const Backup& aBackup)
{
  keyValues_ = aBackup.keyValues_;
  revision_ = aBackup.revision_;
  lastLease_ = aBackup.lastLease_;
  events_.clear();
  leases_.clear();
  compactRevision_ = revision_;
}

} // namespace azurecross

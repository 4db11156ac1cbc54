#include "ClaimStore.h"

namespace azurecross {

namespace asio = boost::asio;

namespace {

Transaction
MakeTransaction(const ClaimBatch& aBatch, LeaseId aLease)
{
  Transaction transaction;
  for (const ClaimWrite& write : aBatch.writes_) {
    transaction.compares_.push_back(
      { write.storeKey_, CompareTarget::ModRevision, write.expectedRevision_ });
    transaction.success_.emplace_back(
      PutRequest{ write.storeKey_, write.value_, aLease });
    RangeRequest read;
    read.key_ = write.storeKey_;
    transaction.failure_.emplace_back(std::move(read));
  }
  return transaction;
}

/** The outcome of one write of a transaction that failed its comparisons. */
ClaimWriteResult
MakeFailedResult(const ClaimWrite& aWrite, const RangeAnswer& aFound)
{
  ClaimWriteResult result;
  if (!aFound.keyValues_.empty()) {
    result.revision_ = aFound.keyValues_.front().modRevision_;
    result.value_ = aFound.keyValues_.front().value_;
  }
  result.outcome_ = result.revision_ == aWrite.expectedRevision_
                      ? ClaimWriteOutcome::NotApplied
                      : ClaimWriteOutcome::Conflict;
  return result;
}

std::vector<ClaimWriteResult>
MakeResults(std::size_t aCount, ClaimWriteOutcome aOutcome)
{
  ClaimWriteResult result;
  result.outcome_ = aOutcome;
  return std::vector<ClaimWriteResult>(aCount, result);
}

} // namespace

ClaimStore::ClaimStore(EtcdClient& aClient, Duration aRetention)
  : client_(aClient)
  , retention_(aRetention)
{
}

asio::awaitable<bool>
ClaimStore::EnsureLease()
{
  const bool isFresh =
    lease_.GetValue() != 0 && ReadMonotonicTime() - leaseStart_ < kLeasePeriod;
  if (isFresh) {
    co_return true;
  }
  const auto timeToLive = std::chrono::duration_cast<std::chrono::seconds>(
    retention_ + 2 * kLeasePeriod);
  const auto lease = co_await client_.GrantLease(timeToLive);
  if (lease.has_error()) {
    co_return false;
  }
  lease_ = lease->id_;
  leaseStart_ = ReadMonotonicTime();
  co_return true;
}

asio::awaitable<std::vector<ClaimWriteResult>>
ClaimStore::Write(ClaimBatch aBatch)
{
  const std::size_t count = aBatch.writes_.size();
  if (!co_await EnsureLease()) {
    co_return MakeResults(count, ClaimWriteOutcome::Unavailable);
  }
  Transaction transaction = MakeTransaction(aBatch, lease_);
  const auto answer = co_await client_.Commit(std::move(transaction));
  if (answer.has_error()) {
    // A store that has lost the lease refuses all puts that name it.
    lease_ = LeaseId();
    co_return MakeResults(count,
                          answer.error().verdict_ == Verdict::NotRun
                            ? ClaimWriteOutcome::Unavailable
                            : ClaimWriteOutcome::Lost);
  }
  if (answer->succeeded_) {
    auto results = MakeResults(count, ClaimWriteOutcome::Applied);
    for (ClaimWriteResult& result : results) {
      result.revision_ = answer->storeRevision_;
    }
    co_return results;
  }
  std::vector<ClaimWriteResult> results;
  results.reserve(count);
  for (std::size_t write = 0; write < count; ++write) {
    const RangeAnswer found =
      write < answer->ranges_.size() ? answer->ranges_[write] : RangeAnswer{};
    results.push_back(MakeFailedResult(aBatch.writes_[write], found));
  }
  co_return results;
}

asio::awaitable<ClaimReadResult>
ClaimStore::Read(std::string aStoreKey)
{
  RangeRequest request;
  request.key_ = std::move(aStoreKey);
  const auto answer = co_await client_.Range(std::move(request));
  ClaimReadResult result;
  if (answer.has_error()) {
    co_return result;
  }
  result.isAnswered_ = true;
  if (!answer->keyValues_.empty()) {
    result.revision_ = answer->keyValues_.front().modRevision_;
    result.value_ = answer->keyValues_.front().value_;
  }
  co_return result;
}

} // namespace azurecross

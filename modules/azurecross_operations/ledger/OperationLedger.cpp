#include "OperationLedger.h"

namespace azurecross {

OperationLedger::OperationLedger(LedgerLimits aLimits)
  : limits_(aLimits)
{
}

OperationLedger::BeginOutcome
OperationLedger::Begin(const std::string& aId, OperationRecord aRecord)
{
  const auto found = records_.find(aId);
  if (found == records_.end()) {
    if (IsFull()) {
      return BeginOutcome::Full;
    }
    Insert(aId, std::move(aRecord));
    return BeginOutcome::Run;
  }
  const OperationRecord& known = found->second;
  if (known.fingerprint_ != aRecord.fingerprint_ ||
      known.customer_ != aRecord.customer_) {
    return BeginOutcome::Conflict;
  }
  const bool isRepeat = known.state_ == OperationState::Running &&
                        known.attempt_ == aRecord.attempt_;
  return isRepeat ? BeginOutcome::Run : BeginOutcome::Known;
}

bool
OperationLedger::Finish(const std::string& aId,
                        const std::string& aAttempt,
                        Verdict aVerdict,
                        std::optional<StoredAnswer> aAnswer)
{
  const auto found = records_.find(aId);
  if (found == records_.end() || found->second.attempt_ != aAttempt ||
      found->second.state_ == OperationState::Finished) {
    return false;
  }
  OperationRecord& record = found->second;
  if (aVerdict == Verdict::Ran) {
    record.state_ = OperationState::Finished;
    StoreAnswer(aId, record, std::move(aAnswer));
    return true;
  }
  if (record.state_ != OperationState::Running) {
    return false;
  }
  if (aVerdict == Verdict::NotRun) {
    Erase(found);
  } else {
    record.state_ = OperationState::Unknown;
  }
  return true;
}

const OperationRecord*
OperationLedger::Find(const std::string& aId) const
{
  const auto found = records_.find(aId);
  return found == records_.end() ? nullptr : &found->second;
}

void
OperationLedger::Drop(const std::string& aId)
{
  const auto found = records_.find(aId);
  if (found != records_.end()) {
    Erase(found);
  }
}

void
OperationLedger::Expire(std::int64_t aNowMilliseconds)
{
  while (!expiries_.empty() && expiries_.begin()->first <= aNowMilliseconds) {
    const std::string id = expiries_.begin()->second;
    expiries_.erase(expiries_.begin());
    const auto found = records_.find(id);
    if (found != records_.end() &&
        found->second.expiresMilliseconds_ <= aNowMilliseconds) {
      DropAnswer(found->second);
      records_.erase(found);
    }
  }
}

void
OperationLedger::Import(const std::string& aId, OperationRecord aRecord)
{
  if (records_.contains(aId)) {
    return;
  }
  std::optional<StoredAnswer> answer = std::move(aRecord.answer_);
  aRecord.answer_.reset();
  Insert(aId, std::move(aRecord));
  if (answer) {
    StoreAnswer(aId, records_.at(aId), std::move(answer));
  }
}

void
OperationLedger::ForEach(
  const std::function<void(const std::string&, const OperationRecord&)>&
    aVisitor) const
{
  for (const auto& [id, record] : records_) {
    aVisitor(id, record);
  }
}

void
OperationLedger::Insert(const std::string& aId, OperationRecord aRecord)
{
  expiries_.emplace(aRecord.expiresMilliseconds_, aId);
  records_.emplace(aId, std::move(aRecord));
}

void
OperationLedger::StoreAnswer(const std::string& aId,
                             OperationRecord& aRecord,
                             std::optional<StoredAnswer> aAnswer)
{
  if (!aAnswer || aAnswer->CountBytes() > limits_.answerLimitBytes_) {
    return;
  }
  answerBytes_ += aAnswer->CountBytes();
  aRecord.answer_ = std::move(aAnswer);
  answerOrder_.push_back(aId);
  DropOldestAnswers();
}

void
OperationLedger::DropAnswer(OperationRecord& aRecord)
{
  if (aRecord.answer_) {
    answerBytes_ -= aRecord.answer_->CountBytes();
    aRecord.answer_.reset();
  }
}

void
OperationLedger::DropOldestAnswers()
{
  // The second condition bounds the queue: it keeps ids of dropped records.
  while (!answerOrder_.empty() &&
         (answerBytes_ > limits_.totalAnswerLimitBytes_ ||
          answerOrder_.size() > 2 * limits_.recordLimit_)) {
    const auto found = records_.find(answerOrder_.front());
    answerOrder_.pop_front();
    if (found != records_.end()) {
      DropAnswer(found->second);
    }
  }
}

void
OperationLedger::Erase(Records::iterator aRecord)
{
  const auto [first, last] =
    expiries_.equal_range(aRecord->second.expiresMilliseconds_);
  for (auto expiry = first; expiry != last; ++expiry) {
    if (expiry->second == aRecord->first) {
      expiries_.erase(expiry);
      break;
    }
  }
  DropAnswer(aRecord->second);
  records_.erase(aRecord);
}

} // namespace azurecross

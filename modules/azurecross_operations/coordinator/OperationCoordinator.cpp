#include "OperationCoordinator.h"

namespace azurecross {

namespace {

constexpr std::size_t kRandomDigits = 32;
constexpr std::chrono::milliseconds kBusyRetryAfter(1000);

std::int64_t
CountMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

template<typename Map>
std::vector<std::string>
CollectKeys(const Map& aMap)
{
  std::vector<std::string> keys;
  keys.reserve(aMap.size());
  for (const auto& entry : aMap) {
    keys.push_back(entry.first);
  }
  return keys;
}

} // namespace

OperationCoordinator::OperationCoordinator(OperationSettings aSettings)
  : settings_(std::move(aSettings))
  , random_(settings_.seed_)
  , owners_(
      { settings_.entry_, settings_.incarnation_, settings_.secret_, true })
  , codec_(settings_.secret_)
  , attemptPrefix_(settings_.entry_.GetValue() + "/" +
                   std::to_string(settings_.incarnation_.GetValue()) + "/")
  , ledger_(settings_.ledger_)
  , writer_(settings_.claims_)
{
}

std::optional<std::string>
OperationCoordinator::IssueKey(Time aNow)
{
  if (owners_.HasMovedAll()) {
    return std::nullopt;
  }
  std::string random;
  while (random.size() < kRandomDigits) {
    const std::uint64_t bits = random_.DrawBits();
    random += FormatHex({ reinterpret_cast<const char*>(&bits), sizeof(bits) });
  }
  const std::int64_t expires = ReadMilliseconds(aNow + settings_.keyLifetime_);
  return codec_.Issue(settings_.entry_, settings_.incarnation_, expires, random)
    .Format();
}

void
OperationCoordinator::Begin(OperationCall aCall,
                            Time aNow,
                            OperationActions& aActions)
{
  const std::string attempt = MakeAttempt();
  const ParsedKey key = ParseKey(aCall.key_);
  const bool hasRoom = pending_.size() < settings_.pendingLimit_;
  attemptsByToken_[aCall.token_] = attempt;
  Pending& pending = pending_[attempt];
  pending.call_ = std::move(aCall);
  pending.attempt_ = attempt;
  pending.lastHeard_ = aNow;
  if (key.kind_ == KeyKind::Malformed) {
    // No entry accepts such a key, so nothing ran under it.
    Refuse(attempt,
           ErrorCode::InvalidRequest,
           Verdict::NotRun,
           "the key is malformed",
           aActions);
  } else if (!hasRoom) {
    RefuseUnproven(attempt,
                   ErrorCode::QueueFull,
                   "too many operations wait for a decision",
                   aActions);
  } else if (owners_.HasMovedAll()) {
    RefuseUnproven(
      attempt, ErrorCode::Draining, "this entry is stopping", aActions);
  } else if (key.kind_ == KeyKind::IssuedKey) {
    BeginIssuedKey(pending, key.issuedKey_, aNow, aActions);
  } else {
    BeginCallerKey(pending, aNow);
  }
  SendClaims(aNow, aActions);
}

void
OperationCoordinator::Cancel(std::uint64_t aToken,
                             Time aNow,
                             OperationActions& aActions)
{
  const auto found = attemptsByToken_.find(aToken);
  if (found == attemptsByToken_.end()) {
    return;
  }
  const std::string attempt = found->second;
  GiveBackIssued(pending_.at(attempt), aNow);
  Remove(attempt);
  StepReports(aNow, aActions);
}

void
OperationCoordinator::Finish(const std::string& aAttempt,
                             Verdict aVerdict,
                             std::optional<StoredAnswer> aAnswer,
                             Time aNow,
                             OperationActions& aActions)
{
  const auto found = running_.find(aAttempt);
  if (found == running_.end()) {
    return;
  }
  const RunningOperation running = std::move(found->second);
  running_.erase(found);
  if (running.kind_ == RunningOperation::Kind::Claim) {
    StartClaimOutcome(aAttempt, running, aVerdict, aAnswer, aNow);
  } else if (running.kind_ == RunningOperation::Kind::RemoteKey) {
    OperationForward report = running.report_;
    report.verdict_ = aVerdict;
    report.answer_ = aAnswer;
    StartReport(std::move(report), aNow);
  }
  ledger_.Finish(running.ledgerId_, aAttempt, aVerdict, std::move(aAnswer));
  StepFinishing(aNow);
  SendClaims(aNow, aActions);
  StepReports(aNow, aActions);
}

void
OperationCoordinator::TakeReply(const OperationReply& aReply,
                                Time aNow,
                                OperationActions& aActions)
{
  if (aReply.kind_ == ReplyKind::Moved) {
    owners_.NoteMove({ aReply.owner_, aReply.incarnation_, aReply.successor_ });
  }
  if (aReply.asked_ == ForwardKind::FinishIssued) {
    TakeReportReply(aReply, aNow);
    return;
  }
  const auto found = pending_.find(aReply.attempt_);
  if (found == pending_.end()) {
    TakeUnexpectedRun(aReply, aNow, aActions);
    return;
  }
  found->second.lastHeard_ = aNow;
  if (aReply.kind_ == ReplyKind::Moved) {
    found->second.nextStepAt_ = aNow;
  } else if (aReply.asked_ == ForwardKind::AskAttempt) {
    TakeHolderReply(aReply.attempt_, aReply, aNow, aActions);
  } else if (found->second.phase_ == PendingPhase::Owner) {
    TakeOwnerReply(aReply.attempt_, aReply, false, aNow, aActions);
  }
  SendClaims(aNow, aActions);
}

void
OperationCoordinator::Tick(Time aNow, OperationActions& aActions)
{
  for (const ClaimBatch& batch : writer_.TakeOverdue(aNow)) {
    const ClaimWriteResult lost;
    for (const ClaimWrite& write : batch.writes_) {
      const auto found = attemptsByWrite_.find(write.id_);
      if (found == attemptsByWrite_.end()) {
        continue;
      }
      const std::string attempt = found->second;
      attemptsByWrite_.erase(found);
      TakeClaimWriteResult(attempt, lost, aNow, aActions);
    }
  }
  for (const std::string& attempt : CollectKeys(pending_)) {
    StepPending(attempt, aNow, aActions);
  }
  StepFinishing(aNow);
  SendClaims(aNow, aActions);
  StepReports(aNow, aActions);
  SendHandoverParts(aNow, aActions);
  ledger_.Expire(ReadMilliseconds(aNow));
}

void
OperationCoordinator::StepPending(const std::string& aAttempt,
                                  Time aNow,
                                  OperationActions& aActions)
{
  const auto found = pending_.find(aAttempt);
  if (found == pending_.end()) {
    return;
  }
  Pending& pending = found->second;
  if (aNow >= pending.call_.deadline_) {
    const bool isStore = pending.phase_ != PendingPhase::Holder &&
                         pending.phase_ != PendingPhase::Owner;
    RefuseUnproven(aAttempt,
                   isStore ? ErrorCode::StoreUnavailable
                           : ErrorCode::OperationUnknown,
                   "no decision before the deadline",
                   aActions);
    return;
  }
  if (aNow < pending.nextStepAt_) {
    return;
  }
  switch (pending.phase_) {
    case PendingPhase::WriteResult:
      break;
    case PendingPhase::ReadResult:
      PauseStoreCall(aAttempt, PendingPhase::ReadPause, aNow, aActions);
      break;
    case PendingPhase::WritePause:
      QueueClaim(pending);
      break;
    case PendingPhase::ReadPause:
      ReadStoredClaim(pending, aActions);
      pending.nextStepAt_ = aNow + settings_.claims_.answerTimeout_;
      break;
    case PendingPhase::Holder:
      AskHolder(aAttempt, aNow, aActions);
      break;
    case PendingPhase::Owner:
      AskOwner(aAttempt, aNow, aActions);
      break;
  }
}

std::int64_t
OperationCoordinator::ReadMilliseconds(Time aNow) const
{
  return settings_.startMilliseconds_ +
         CountMilliseconds(aNow - settings_.start_);
}

std::int64_t
OperationCoordinator::ComputeRecordExpiry(std::int64_t aKeyExpiry) const
{
  return aKeyExpiry + CountMilliseconds(settings_.recordGrace_);
}

std::string
OperationCoordinator::MakeAttempt()
{
  return attemptPrefix_ + std::to_string(nextAttempt_++);
}

void
OperationCoordinator::Remove(const std::string& aAttempt)
{
  const auto found = pending_.find(aAttempt);
  if (found == pending_.end()) {
    return;
  }
  writer_.Withdraw(found->second.write_);
  attemptsByWrite_.erase(found->second.write_);
  attemptsByToken_.erase(found->second.call_.token_);
  pending_.erase(found);
}

void
OperationCoordinator::Run(const std::string& aAttempt,
                          RunningOperation aRunning,
                          OperationActions& aActions)
{
  const OperationCall& call = pending_.at(aAttempt).call_;
  aActions.emplace_back(RunOperation{ call.token_, aAttempt, call.deadline_ });
  running_.insert_or_assign(aAttempt, std::move(aRunning));
  Remove(aAttempt);
}

void
OperationCoordinator::Replay(const std::string& aAttempt,
                             StoredAnswer aAnswer,
                             OperationActions& aActions)
{
  aActions.emplace_back(
    ReplayAnswer{ pending_.at(aAttempt).call_.token_, std::move(aAnswer) });
  Remove(aAttempt);
}

void
OperationCoordinator::Refuse(const std::string& aAttempt,
                             ErrorCode aCode,
                             Verdict aVerdict,
                             std::string aMessage,
                             OperationActions& aActions)
{
  Error error{ aCode, aVerdict, std::move(aMessage), {} };
  const bool isWorthRepeating = aCode == ErrorCode::QueueFull ||
                                aCode == ErrorCode::StoreUnavailable ||
                                aCode == ErrorCode::Draining;
  if (isWorthRepeating) {
    error.retryAfter_ = kBusyRetryAfter;
  }
  aActions.emplace_back(
    RefuseOperation{ pending_.at(aAttempt).call_.token_, std::move(error) });
  Remove(aAttempt);
}

void
OperationCoordinator::RefuseUnproven(const std::string& aAttempt,
                                     ErrorCode aCode,
                                     std::string aMessage,
                                     OperationActions& aActions)
{
  const Pending& pending = pending_.at(aAttempt);
  const bool isProven =
    pending.call_.isFirstAttempt_ && !pending.hasEarlierAttempt_;
  GiveBackIssued(pending, pending.lastHeard_);
  Refuse(aAttempt,
         aCode,
         isProven ? Verdict::NotRun : Verdict::MayHaveRun,
         std::move(aMessage),
         aActions);
}

} // namespace azurecross

#include "OperationCoordinator.h"

#include "../claims/ClaimDecision.h"

namespace azurecross {

namespace {

std::string
MakeClaimLedgerId(const std::string& aAttempt)
{
  return "c:" + aAttempt;
}

} // namespace

void
OperationCoordinator::BeginCallerKey(Pending& aPending, Time aNow)
{
  const OperationCall& call = aPending.call_;
  aPending.storeKey_ = MakeClaimStoreKey(call.customer_, call.key_);
  ClaimRecord& wanted = aPending.wanted_;
  wanted.customer_ = call.customer_;
  wanted.key_ = call.key_;
  wanted.fingerprint_ = call.fingerprint_;
  wanted.attempt_ = aPending.attempt_;
  wanted.holder_ = settings_.entry_;
  wanted.incarnation_ = settings_.incarnation_;
  wanted.claimedMilliseconds_ = ReadMilliseconds(aNow);
  wanted.expiresMilliseconds_ = ReadMilliseconds(aNow + settings_.keyLifetime_);
  QueueClaim(aPending);
}

void
OperationCoordinator::QueueClaim(Pending& aPending)
{
  aPending.phase_ = PendingPhase::WriteResult;
  aPending.write_ = nextWrite_++;
  attemptsByWrite_[aPending.write_] = aPending.attempt_;
  writer_.Add({ aPending.write_,
                aPending.storeKey_,
                aPending.foundRevision_,
                EncodeClaim(aPending.wanted_),
                aPending.wanted_.expiresMilliseconds_ });
}

void
OperationCoordinator::ReadStoredClaim(Pending& aPending,
                                      OperationActions& aActions)
{
  aPending.phase_ = PendingPhase::ReadResult;
  aActions.emplace_back(ReadClaim{ aPending.attempt_, aPending.storeKey_ });
}

void
OperationCoordinator::SendClaims(Time aNow, OperationActions& aActions)
{
  while (auto batch = writer_.TakeBatch(aNow)) {
    aActions.emplace_back(WriteClaims{ std::move(*batch) });
  }
}

void
OperationCoordinator::TakeWriteResults(std::uint64_t aBatch,
                                       std::vector<ClaimWriteResult> aResults,
                                       Time aNow,
                                       OperationActions& aActions)
{
  const auto batch = writer_.TakeResults(aBatch, aResults);
  if (!batch) {
    return;
  }
  for (std::size_t index = 0; index < batch->writes_.size(); ++index) {
    const auto found = attemptsByWrite_.find(batch->writes_[index].id_);
    if (found == attemptsByWrite_.end()) {
      continue;
    }
    const std::string attempt = found->second;
    attemptsByWrite_.erase(found);
    TakeClaimWriteResult(attempt, aResults[index], aNow, aActions);
  }
  SendClaims(aNow, aActions);
}

void
OperationCoordinator::TakeClaimWriteResult(const std::string& aAttempt,
                                           const ClaimWriteResult& aResult,
                                           Time aNow,
                                           OperationActions& aActions)
{
  const auto found = pending_.find(aAttempt);
  if (found == pending_.end()) {
    TakeOutcomeWriteResult(aAttempt, aResult, aNow);
    return;
  }
  switch (aResult.outcome_) {
    case ClaimWriteOutcome::Applied:
      RunClaim(aAttempt, aResult.revision_, aNow, aActions);
      break;
    case ClaimWriteOutcome::Conflict:
      ObserveClaim(aAttempt, aResult.revision_, aResult.value_, aNow, aActions);
      break;
    case ClaimWriteOutcome::Lost:
      found->second.nextStepAt_ = aNow + settings_.claims_.answerTimeout_;
      ReadStoredClaim(found->second, aActions);
      break;
    case ClaimWriteOutcome::NotApplied:
    case ClaimWriteOutcome::Unavailable:
      PauseStoreCall(aAttempt, PendingPhase::WritePause, aNow, aActions);
      break;
  }
}

void
OperationCoordinator::TakeReadResult(const std::string& aAttempt,
                                     const ClaimReadResult& aResult,
                                     Time aNow,
                                     OperationActions& aActions)
{
  const auto found = pending_.find(aAttempt);
  if (found == pending_.end() ||
      found->second.phase_ != PendingPhase::ReadResult) {
    return;
  }
  if (aResult.isAnswered_) {
    ObserveClaim(aAttempt, aResult.revision_, aResult.value_, aNow, aActions);
  } else {
    PauseStoreCall(aAttempt, PendingPhase::ReadPause, aNow, aActions);
  }
  SendClaims(aNow, aActions);
}

void
OperationCoordinator::PauseStoreCall(const std::string& aAttempt,
                                     PendingPhase aNext,
                                     Time aNow,
                                     OperationActions& aActions)
{
  Pending& pending = pending_.at(aAttempt);
  if (++pending.storeTries_ >= settings_.storeTryLimit_) {
    RefuseUnproven(aAttempt,
                   ErrorCode::StoreUnavailable,
                   "the store does not answer",
                   aActions);
    return;
  }
  constexpr double kJitter = 0.3;
  const Duration pause =
    settings_.storeRetryPause_ * (std::int64_t{ 1 } << pending.storeTries_) / 2;
  pending.phase_ = aNext;
  pending.nextStepAt_ = aNow + random_.Jitter(pause, kJitter);
}

void
OperationCoordinator::ObserveClaim(const std::string& aAttempt,
                                   std::int64_t aRevision,
                                   const std::string& aValue,
                                   Time aNow,
                                   OperationActions& aActions)
{
  Pending& pending = pending_.at(aAttempt);
  if (aRevision == 0 && !pending.found_) {
    PauseStoreCall(aAttempt, PendingPhase::WritePause, aNow, aActions);
    return;
  }
  const auto claim = DecodeClaim(aValue);
  if (aRevision == 0 || !claim) {
    Refuse(aAttempt,
           ErrorCode::OperationUnknown,
           Verdict::MayHaveRun,
           "the claim has expired or can't be read",
           aActions);
    return;
  }
  const ClaimAction action = DecideClaim(*claim, pending.wanted_);
  if (action == ClaimAction::Run) {
    RunClaim(aAttempt, aRevision, aNow, aActions);
    return;
  }
  const bool isSameHolder =
    pending.found_ && pending.found_->attempt_ == claim->attempt_;
  pending.hasEarlierAttempt_ = true;
  pending.found_ = claim;
  pending.foundRevision_ = aRevision;
  switch (action) {
    case ClaimAction::Replay:
      Replay(aAttempt, *claim->answer_, aActions);
      break;
    case ClaimAction::ReportRan:
      Refuse(aAttempt,
             ErrorCode::OperationUnknown,
             Verdict::Ran,
             "the operation ran; its answer is not kept",
             aActions);
      break;
    case ClaimAction::ReportConflict:
      Refuse(aAttempt,
             ErrorCode::OperationConflict,
             Verdict::MayHaveRun,
             "the key belongs to a different request",
             aActions);
      break;
    case ClaimAction::AskHolder:
      if (pending.isLastRead_ && isSameHolder) {
        RefuseUnproven(aAttempt,
                       ErrorCode::OwnerUnreachable,
                       "the entry that holds the claim does not answer",
                       aActions);
        break;
      }
      pending.isLastRead_ = false;
      pending.phase_ = PendingPhase::Holder;
      pending.lastHeard_ = aNow;
      AskHolder(aAttempt, aNow, aActions);
      break;
    case ClaimAction::Run:
    case ClaimAction::ReportUnknown:
      Refuse(aAttempt,
             ErrorCode::OperationUnknown,
             Verdict::MayHaveRun,
             "an earlier attempt may have run",
             aActions);
      break;
  }
}

void
OperationCoordinator::RunClaim(const std::string& aAttempt,
                               std::int64_t aRevision,
                               Time aNow,
                               OperationActions& aActions)
{
  const Pending& pending = pending_.at(aAttempt);
  // This attempt holds the claim and never runs, and no earlier one did, so
  // refusals from here on are proven.
  if (aNow > pending.call_.deadline_) {
    Refuse(aAttempt,
           ErrorCode::DeadlineExceeded,
           Verdict::NotRun,
           "the claim was confirmed too late",
           aActions);
    return;
  }
  RunningOperation running;
  running.kind_ = RunningOperation::Kind::Claim;
  running.ledgerId_ = MakeClaimLedgerId(aAttempt);
  running.claim_ = pending.wanted_;
  running.storeKey_ = pending.storeKey_;
  running.claimRevision_ = aRevision;
  OperationRecord record;
  record.attempt_ = aAttempt;
  record.runner_ = settings_.entry_;
  record.customer_ = pending.call_.customer_;
  record.fingerprint_ = pending.call_.fingerprint_;
  record.expiresMilliseconds_ =
    ComputeRecordExpiry(pending.wanted_.expiresMilliseconds_);
  const auto outcome = ledger_.Begin(running.ledgerId_, std::move(record));
  if (outcome != OperationLedger::BeginOutcome::Run) {
    Refuse(aAttempt,
           ErrorCode::QueueFull,
           Verdict::NotRun,
           "no room for another operation record",
           aActions);
    return;
  }
  Run(aAttempt, std::move(running), aActions);
}

void
OperationCoordinator::AskHolder(const std::string& aAttempt,
                                Time aNow,
                                OperationActions& aActions)
{
  Pending& pending = pending_.at(aAttempt);
  const ClaimRecord& claim = *pending.found_;
  OperationForward forward;
  forward.kind_ = ForwardKind::AskAttempt;
  forward.owner_ = claim.holder_;
  forward.incarnation_ = claim.incarnation_;
  forward.attempt_ = aAttempt;
  forward.askedAttempt_ = claim.attempt_;
  forward.customer_ = pending.call_.customer_;
  forward.fingerprint_ = pending.call_.fingerprint_;
  pending.nextStepAt_ = aNow + settings_.forwardInterval_;
  if (owners_.FindLocal(claim.holder_, claim.incarnation_) != nullptr) {
    TakeHolderReply(aAttempt, DescribeAttempt(forward), aNow, aActions);
    return;
  }
  const EntryId target = owners_.FindDecider(claim.holder_, claim.incarnation_);
  const bool isOwnPast = target == settings_.entry_;
  if (isOwnPast || aNow - pending.lastHeard_ >= settings_.unreachableAfter_) {
    // The holder may have died after it recorded the outcome in the claim.
    pending.isLastRead_ = true;
    pending.nextStepAt_ = aNow + settings_.claims_.answerTimeout_;
    ReadStoredClaim(pending, aActions);
    return;
  }
  aActions.emplace_back(ForwardToOwner{ target, std::move(forward) });
}

void
OperationCoordinator::TakeHolderReply(const std::string& aAttempt,
                                      const OperationReply& aReply,
                                      Time aNow,
                                      OperationActions& aActions)
{
  Pending& pending = pending_.at(aAttempt);
  if (pending.phase_ != PendingPhase::Holder ||
      pending.found_->attempt_ != aReply.askedAttempt_) {
    return;
  }
  pending.lastHeard_ = aNow;
  switch (aReply.kind_) {
    case ReplyKind::Wait:
      break;
    case ReplyKind::NeverRan:
      QueueClaim(pending);
      break;
    case ReplyKind::Replay:
      Replay(aAttempt, aReply.answer_.value_or(StoredAnswer{}), aActions);
      break;
    case ReplyKind::Ran:
      Refuse(aAttempt,
             ErrorCode::OperationUnknown,
             Verdict::Ran,
             "the operation ran; its answer is not kept",
             aActions);
      break;
    default:
      Refuse(aAttempt,
             ErrorCode::OperationUnknown,
             Verdict::MayHaveRun,
             "an earlier attempt may have run",
             aActions);
      break;
  }
}

OperationReply
OperationCoordinator::DescribeAttempt(const OperationForward& aForward) const
{
  const OperationDomain* domain =
    owners_.FindLocal(aForward.owner_, aForward.incarnation_);
  if (domain == nullptr) {
    return MakeAbsentReply(aForward);
  }
  OperationReply reply = MakeAbsentReply(aForward);
  const OperationRecord* record =
    ledger_.Find(MakeClaimLedgerId(aForward.askedAttempt_));
  if (record == nullptr) {
    const bool isUndecided = pending_.contains(aForward.askedAttempt_);
    const ReplyKind absent =
      domain->mayStartNew_ ? ReplyKind::NeverRan : ReplyKind::Unknown;
    reply.kind_ = isUndecided ? ReplyKind::Wait : absent;
    return reply;
  }
  switch (record->state_) {
    case OperationState::Running:
      reply.kind_ = ReplyKind::Wait;
      break;
    case OperationState::Unknown:
      reply.kind_ = ReplyKind::Unknown;
      break;
    case OperationState::Finished:
      reply.kind_ = record->answer_ ? ReplyKind::Replay : ReplyKind::Ran;
      reply.answer_ = record->answer_;
      break;
  }
  return reply;
}

} // namespace azurecross

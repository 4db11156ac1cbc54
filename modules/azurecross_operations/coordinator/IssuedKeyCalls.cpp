#include "OperationCoordinator.h"

namespace azurecross {

namespace {

std::string
MakeKeyLedgerId(const std::string& aKey)
{
  return "k:" + aKey;
}

std::string
MakeRemoteLedgerId(const std::string& aAttempt)
{
  return "r:" + aAttempt;
}

} // namespace

void
OperationCoordinator::BeginIssuedKey(Pending& aPending,
                                     const OperationKey& aKey,
                                     Time aNow,
                                     OperationActions& aActions)
{
  aPending.phase_ = PendingPhase::Owner;
  aPending.owner_ = aKey.owner_;
  aPending.incarnation_ = aKey.incarnation_;
  // A copy, because a decision removes the call.
  const std::string attempt = aPending.attempt_;
  AskOwner(attempt, aNow, aActions);
}

OperationForward
OperationCoordinator::MakeBeginForward(const Pending& aPending) const
{
  OperationForward forward;
  forward.kind_ = ForwardKind::BeginIssued;
  forward.owner_ = aPending.owner_;
  forward.incarnation_ = aPending.incarnation_;
  forward.attempt_ = aPending.attempt_;
  forward.key_ = aPending.call_.key_;
  forward.customer_ = aPending.call_.customer_;
  forward.fingerprint_ = aPending.call_.fingerprint_;
  return forward;
}

void
OperationCoordinator::AskOwner(const std::string& aAttempt,
                               Time aNow,
                               OperationActions& aActions)
{
  Pending& pending = pending_.at(aAttempt);
  const OperationForward forward = MakeBeginForward(pending);
  pending.nextStepAt_ = aNow + settings_.forwardInterval_;
  if (owners_.FindLocal(pending.owner_, pending.incarnation_) != nullptr) {
    const OperationReply reply = DecideIssued(forward, settings_.entry_, aNow);
    TakeOwnerReply(aAttempt, reply, true, aNow, aActions);
    return;
  }
  const EntryId target =
    owners_.FindDecider(pending.owner_, pending.incarnation_);
  const bool isOwnPast = target == settings_.entry_;
  if (isOwnPast || aNow - pending.lastHeard_ >= settings_.unreachableAfter_) {
    RefuseUnproven(aAttempt,
                   ErrorCode::OwnerUnreachable,
                   "the entry that issued the key does not answer",
                   aActions);
    return;
  }
  aActions.emplace_back(ForwardToOwner{ target, forward });
}

OperationReply
OperationCoordinator::DecideIssued(const OperationForward& aForward,
                                   const EntryId& aRunner,
                                   Time aNow)
{
  OperationReply reply = MakeAbsentReply(aForward);
  const OperationDomain* domain =
    owners_.FindLocal(aForward.owner_, aForward.incarnation_);
  if (domain == nullptr) {
    return reply;
  }
  const ParsedKey parsed = ParseKey(aForward.key_);
  const OperationKey& key = parsed.issuedKey_;
  const bool isGenuine = parsed.kind_ == KeyKind::IssuedKey &&
                         key.owner_ == domain->owner_ &&
                         key.incarnation_ == domain->incarnation_ &&
                         OperationKeyCodec(domain->secret_).Verify(key);
  if (!isGenuine) {
    reply.kind_ = ReplyKind::Malformed;
    return reply;
  }
  const std::string id = MakeKeyLedgerId(aForward.key_);
  const OperationRecord* known = ledger_.Find(id);
  if (known == nullptr && key.expiresMilliseconds_ <= ReadMilliseconds(aNow)) {
    reply.kind_ = ReplyKind::Expired;
    return reply;
  }
  if (known == nullptr && !domain->mayStartNew_) {
    reply.kind_ = ReplyKind::Unknown;
    return reply;
  }
  OperationRecord record;
  record.attempt_ = aForward.attempt_;
  record.runner_ = aRunner;
  record.customer_ = aForward.customer_;
  record.fingerprint_ = aForward.fingerprint_;
  record.expiresMilliseconds_ = ComputeRecordExpiry(key.expiresMilliseconds_);
  switch (ledger_.Begin(id, std::move(record))) {
    case OperationLedger::BeginOutcome::Run:
      reply.kind_ = ReplyKind::Run;
      return reply;
    case OperationLedger::BeginOutcome::Conflict:
      reply.kind_ = ReplyKind::Conflict;
      return reply;
    case OperationLedger::BeginOutcome::Full:
      reply.kind_ = ReplyKind::Full;
      return reply;
    case OperationLedger::BeginOutcome::Known:
      break;
  }
  known = ledger_.Find(id);
  if (known->state_ == OperationState::Finished) {
    reply.kind_ = known->answer_ ? ReplyKind::Replay : ReplyKind::Ran;
    reply.answer_ = known->answer_;
  } else {
    reply.kind_ = known->state_ == OperationState::Running ? ReplyKind::Wait
                                                           : ReplyKind::Unknown;
  }
  return reply;
}

void
OperationCoordinator::TakeOwnerReply(const std::string& aAttempt,
                                     const OperationReply& aReply,
                                     bool aIsLocal,
                                     Time aNow,
                                     OperationActions& aActions)
{
  const auto refuse =
    [&](ErrorCode aCode, Verdict aVerdict, const char* aMessage) {
      Refuse(aAttempt, aCode, aVerdict, aMessage, aActions);
    };
  switch (aReply.kind_) {
    case ReplyKind::Run:
      RunIssued(aAttempt, aIsLocal, aNow, aActions);
      break;
    case ReplyKind::Wait:
      pending_.at(aAttempt).lastHeard_ = aNow;
      pending_.at(aAttempt).hasEarlierAttempt_ = true;
      break;
    case ReplyKind::Replay:
      Replay(aAttempt, aReply.answer_.value_or(StoredAnswer{}), aActions);
      break;
    case ReplyKind::Ran:
      refuse(ErrorCode::OperationUnknown,
             Verdict::Ran,
             "the operation ran; its answer is not kept");
      break;
    case ReplyKind::Conflict:
      refuse(ErrorCode::OperationConflict,
             Verdict::MayHaveRun,
             "the key belongs to a different request");
      break;
    case ReplyKind::Full:
      refuse(ErrorCode::QueueFull,
             Verdict::NotRun,
             "no room for another operation record");
      break;
    case ReplyKind::Malformed:
      refuse(ErrorCode::InvalidRequest,
             Verdict::NotRun,
             "the key was not issued by the entry that it names");
      break;
    case ReplyKind::Expired:
      refuse(ErrorCode::OperationUnknown,
             Verdict::MayHaveRun,
             "the key has expired");
      break;
    default:
      refuse(ErrorCode::OperationUnknown,
             Verdict::MayHaveRun,
             "an earlier attempt may have run");
      break;
  }
}

void
OperationCoordinator::RunIssued(const std::string& aAttempt,
                                bool aIsLocal,
                                Time aNow,
                                OperationActions& aActions)
{
  const Pending& pending = pending_.at(aAttempt);
  RunningOperation running;
  running.report_ = MakeBeginForward(pending);
  running.report_.kind_ = ForwardKind::FinishIssued;
  running.report_.verdict_ = Verdict::NotRun;
  if (aIsLocal) {
    running.kind_ = RunningOperation::Kind::OwnKey;
    running.ledgerId_ = MakeKeyLedgerId(pending.call_.key_);
    Run(aAttempt, std::move(running), aActions);
    return;
  }
  running.kind_ = RunningOperation::Kind::RemoteKey;
  running.ledgerId_ = MakeRemoteLedgerId(aAttempt);
  OperationRecord record;
  record.attempt_ = aAttempt;
  record.runner_ = settings_.entry_;
  record.customer_ = pending.call_.customer_;
  record.fingerprint_ = pending.call_.fingerprint_;
  record.expiresMilliseconds_ =
    ComputeRecordExpiry(ReadMilliseconds(aNow + settings_.keyLifetime_));
  const bool isLate = aNow > pending.call_.deadline_;
  const auto outcome = isLate
                         ? OperationLedger::BeginOutcome::Full
                         : ledger_.Begin(running.ledgerId_, std::move(record));
  if (outcome == OperationLedger::BeginOutcome::Run) {
    Run(aAttempt, std::move(running), aActions);
    return;
  }
  // The owner has allowed only this attempt, which never runs.
  StartReport(running.report_, aNow);
  Refuse(aAttempt,
         isLate ? ErrorCode::DeadlineExceeded : ErrorCode::QueueFull,
         Verdict::NotRun,
         isLate ? "the owner answered too late"
                : "no room for another operation record",
         aActions);
}

void
OperationCoordinator::TakeUnexpectedRun(const OperationReply& aReply,
                                        Time aNow,
                                        OperationActions& aActions)
{
  const bool isIssuedRun =
    aReply.kind_ == ReplyKind::Run && aReply.asked_ == ForwardKind::BeginIssued;
  const std::string id = MakeRemoteLedgerId(aReply.attempt_);
  // A record or a report shows that the attempt ran, or that its outcome is
  // on its way; a repeated reply then changes nothing.
  // An earlier incarnation may have run its attempt; only the owner's record
  // knows.
  const bool isOwnAttempt = aReply.attempt_.starts_with(attemptPrefix_);
  if (!isIssuedRun || !isOwnAttempt || running_.contains(aReply.attempt_) ||
      ledger_.Find(id) != nullptr || reports_.contains(aReply.attempt_)) {
    return;
  }
  OperationForward report;
  report.kind_ = ForwardKind::FinishIssued;
  report.owner_ = aReply.owner_;
  report.incarnation_ = aReply.incarnation_;
  report.attempt_ = aReply.attempt_;
  report.key_ = aReply.key_;
  report.verdict_ = Verdict::NotRun;
  StartReport(std::move(report), aNow);
  StepReports(aNow, aActions);
}

void
OperationCoordinator::GiveBackIssued(const Pending& aPending, Time aNow)
{
  const bool hasOwner = aPending.phase_ == PendingPhase::Owner &&
                        !aPending.owner_.GetValue().empty();
  if (!hasOwner) {
    return;
  }
  OperationForward report = MakeBeginForward(aPending);
  report.kind_ = ForwardKind::FinishIssued;
  report.verdict_ = Verdict::NotRun;
  StartReport(std::move(report), aNow);
}

void
OperationCoordinator::StartReport(OperationForward aForward, Time aNow)
{
  const std::string attempt = aForward.attempt_;
  reports_.insert_or_assign(
    attempt,
    OutcomeReport{ std::move(aForward), aNow, aNow + settings_.reportLimit_ });
}

void
OperationCoordinator::StepReports(Time aNow, OperationActions& aActions)
{
  for (auto entry = reports_.begin(); entry != reports_.end();) {
    OutcomeReport& report = entry->second;
    if (aNow >= report.giveUpAt_) {
      entry = reports_.erase(entry);
      continue;
    }
    if (aNow >= report.nextSendAt_) {
      const OperationForward& forward = report.forward_;
      report.nextSendAt_ = aNow + settings_.forwardInterval_;
      if (owners_.FindLocal(forward.owner_, forward.incarnation_) != nullptr) {
        NoteOutcome(forward);
        entry = reports_.erase(entry);
        continue;
      }
      aActions.emplace_back(ForwardToOwner{
        owners_.FindDecider(forward.owner_, forward.incarnation_), forward });
    }
    ++entry;
  }
}

void
OperationCoordinator::TakeReportReply(const OperationReply& aReply, Time aNow)
{
  const auto found = reports_.find(aReply.attempt_);
  if (found == reports_.end()) {
    return;
  }
  if (aReply.kind_ == ReplyKind::Moved) {
    found->second.nextSendAt_ = aNow;
  } else if (aReply.kind_ != ReplyKind::Wait) {
    reports_.erase(found);
  }
}

void
OperationCoordinator::NoteOutcome(const OperationForward& aForward)
{
  ledger_.Finish(MakeKeyLedgerId(aForward.key_),
                 aForward.attempt_,
                 aForward.verdict_,
                 aForward.answer_);
}

void
OperationCoordinator::TakeForward(const EntryId& aFrom,
                                  const OperationForward& aForward,
                                  Time aNow,
                                  OperationActions& aActions)
{
  OperationReply reply;
  if (aForward.kind_ == ForwardKind::BeginIssued) {
    reply = DecideIssued(aForward, aFrom, aNow);
  } else if (aForward.kind_ == ForwardKind::AskAttempt) {
    reply = DescribeAttempt(aForward);
  } else {
    reply = MakeAbsentReply(aForward);
    if (owners_.FindLocal(aForward.owner_, aForward.incarnation_) != nullptr) {
      NoteOutcome(aForward);
      reply.kind_ = ReplyKind::Noted;
    }
  }
  aActions.emplace_back(ReplyToEntry{ aFrom, std::move(reply) });
}

OperationReply
OperationCoordinator::MakeAbsentReply(const OperationForward& aForward) const
{
  OperationReply reply;
  reply.asked_ = aForward.kind_;
  reply.attempt_ = aForward.attempt_;
  reply.askedAttempt_ = aForward.askedAttempt_;
  reply.key_ = aForward.key_;
  reply.owner_ = aForward.owner_;
  reply.incarnation_ = aForward.incarnation_;
  reply.kind_ = ReplyKind::NotOwner;
  if (owners_.IsMoved(aForward.owner_, aForward.incarnation_)) {
    // Until the successor has everything, it can't decide.
    reply.kind_ = IsHandedOver() ? ReplyKind::Moved : ReplyKind::Wait;
    reply.successor_ =
      owners_.FindDecider(aForward.owner_, aForward.incarnation_);
  }
  return reply;
}

} // namespace azurecross

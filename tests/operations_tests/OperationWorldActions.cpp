#include "OperationWorld.h"

namespace azurecross {

namespace {

using std::chrono::milliseconds;

} // namespace

void
OperationWorld::CarryOut(std::size_t aEntry, OperationActions aActions)
{
  for (const OperationAction& action : aActions) {
    std::visit([&](const auto& aAction) { Do(aEntry, aAction); }, action);
  }
}

void
OperationWorld::Do(std::size_t aEntry, const RunOperation& aAction)
{
  const std::size_t operation = operationsByToken_.at(aAction.token_);
  Schedule(
    DrawDelay(), static_cast<int>(aEntry), [this, aEntry, aAction, operation] {
      RunAtBackend(aEntry, aAction, operation);
    });
}

void
OperationWorld::RunAtBackend(std::size_t aEntry,
                             const RunOperation& aAction,
                             std::size_t aOperation)
{
  Operation& operation = operations_[aOperation];
  const bool isUnused = now_ > aAction.runBefore_ || Draw(0.2);
  Verdict verdict = Draw(0.2) ? Verdict::MayHaveRun : Verdict::Ran;
  std::optional<StoredAnswer> answer;
  if (isUnused) {
    CheckNotRun(aAction.token_, "granted but not used");
    verdict = Verdict::NotRun;
  } else if (verdict == Verdict::Ran || Draw(0.5)) {
    ++totalRuns_;
    operation.ranTokens_.insert(aAction.token_);
    if (refusedTokens_.contains(aAction.token_)) {
      violations_.push_back("run after a refusal of " + operation.key_);
    }
    if (++operation.runs_ > 1) {
      violations_.push_back("second run of " + operation.key_);
    }
    operation.answer_ = "answer of " + operation.key_;
    if (verdict == Verdict::Ran) {
      answer = StoredAnswer{ 200, "text/plain", operation.answer_ };
    }
  }
  Schedule(DrawDelay(),
           static_cast<int>(aEntry),
           [this, aEntry, aAction, verdict, answer] {
             Call(aEntry, [&](auto& aCore, OperationActions& aActions) {
               aCore.Finish(aAction.attempt_, verdict, answer, now_, aActions);
             });
           });
}

void
OperationWorld::Do(std::size_t /*aEntry*/, const ReplayAnswer& aAction)
{
  Operation& operation = operations_[operationsByToken_.at(aAction.token_)];
  ++replays_;
  operation.isDone_ = true;
  if (operation.runs_ != 1 || aAction.answer_.body_ != operation.answer_) {
    violations_.push_back("wrong replay of " + operation.key_);
  }
}

void
OperationWorld::Do(std::size_t /*aEntry*/, const RefuseOperation& aAction)
{
  const std::size_t operation = operationsByToken_.at(aAction.token_);
  ++refusals_[aAction.error_.verdict_];
  refusedTokens_.insert(aAction.token_);
  if (aAction.error_.verdict_ == Verdict::NotRun) {
    CheckNotRun(aAction.token_, aAction.error_.message_);
  }
  if (aAction.error_.verdict_ == Verdict::Ran &&
      operations_[operation].runs_ != 1) {
    violations_.push_back("false ran for " + operations_[operation].key_);
  }
}

void
OperationWorld::CheckNotRun(std::uint64_t aToken, const std::string& aWhere)
{
  const Operation& operation = operations_[operationsByToken_.at(aToken)];
  const auto& ran = operation.ranTokens_;
  const bool isFalse =
    firstAttempts_.contains(aToken) ? ran.contains(aToken) : !ran.empty();
  if (isFalse) {
    violations_.push_back("false not_run for " + operation.key_ + ": " +
                          aWhere);
  }
}

void
OperationWorld::Report(
  std::size_t aEntry,
  std::uint64_t aIncarnation,
  std::function<void(OperationCoordinator&, OperationActions&)> aFunction)
{
  if (entries_[aEntry].incarnation_ == aIncarnation) {
    Schedule(DrawDelay(), static_cast<int>(aEntry), [this, aEntry, aFunction] {
      Call(aEntry, aFunction);
    });
  }
}

std::vector<ClaimWriteResult>
OperationWorld::CommitClaims(const ClaimBatch& aBatch)
{
  bool holds = true;
  for (const ClaimWrite& write : aBatch.writes_) {
    holds =
      holds && store_[write.storeKey_].revision_ == write.expectedRevision_;
  }
  if (holds) {
    ++storeRevision_;
  }
  std::vector<ClaimWriteResult> results;
  for (const ClaimWrite& write : aBatch.writes_) {
    StoredClaim& claim = store_[write.storeKey_];
    if (holds) {
      claim = { write.value_, storeRevision_ };
      results.push_back({ ClaimWriteOutcome::Applied, storeRevision_, {} });
    } else if (claim.revision_ == write.expectedRevision_) {
      results.push_back({ ClaimWriteOutcome::NotApplied, 0, {} });
    } else {
      results.push_back(
        { ClaimWriteOutcome::Conflict, claim.revision_, claim.value_ });
    }
  }
  return results;
}

void
OperationWorld::Do(std::size_t aEntry, const WriteClaims& aAction)
{
  ++storeCalls_;
  const ClaimBatch batch = aAction.batch_;
  const std::uint64_t incarnation = entries_[aEntry].incarnation_;
  const auto report =
    [this, aEntry, incarnation, batch](std::vector<ClaimWriteResult> aResults) {
      Report(aEntry,
             incarnation,
             [this, batch, aResults](auto& aCore, OperationActions& aActions) {
               aCore.TakeWriteResults(batch.id_, aResults, now_, aActions);
             });
    };
  const auto reportAll = [batch, report](ClaimWriteOutcome aOutcome) {
    report(
      std::vector<ClaimWriteResult>(batch.writes_.size(), { aOutcome, 0, {} }));
  };
  const bool isCut = IsCut(aEntry, cutEntry_ == 0 ? 1 : 0);
  if (now_ < storeDownUntil_ || isCut) {
    if (!isStoreBlackHole_) {
      reportAll(ClaimWriteOutcome::Unavailable);
    }
    return;
  }
  const bool isAnswerLost = hasFaults_ && Draw(faults_.storeLoss_);
  const bool isRequestLost = isAnswerLost && Draw(0.3);
  const bool isLate = isAnswerLost && Draw(0.5);
  if (isAnswerLost && Draw(0.5)) {
    reportAll(ClaimWriteOutcome::Lost);
  }
  if (isRequestLost) {
    return;
  }
  const Duration delay =
    isLate ? Duration(milliseconds(random_.DrawBelow(8000))) : DrawDelay();
  Schedule(delay, -1, [this, batch, report, isAnswerLost] {
    const auto results = CommitClaims(batch);
    if (!isAnswerLost) {
      report(results);
    }
  });
}

void
OperationWorld::Do(std::size_t aEntry, const ReadClaim& aAction)
{
  ++storeCalls_;
  const std::uint64_t incarnation = entries_[aEntry].incarnation_;
  const auto report =
    [this, aEntry, incarnation, aAction](ClaimReadResult aResult) {
      Report(aEntry,
             incarnation,
             [this, aAction, aResult](auto& aCore, OperationActions& aActions) {
               aCore.TakeReadResult(aAction.attempt_, aResult, now_, aActions);
             });
    };
  const bool isLost = hasFaults_ && Draw(faults_.storeLoss_);
  const bool isCut = IsCut(aEntry, cutEntry_ == 0 ? 1 : 0);
  if (now_ < storeDownUntil_ || isLost || isCut) {
    if (!isStoreBlackHole_) {
      report({});
    }
    return;
  }
  Schedule(DrawDelay(), -1, [this, aAction, report] {
    const StoredClaim claim = store_[aAction.storeKey_];
    report({ true, claim.revision_, claim.value_ });
  });
}

void
OperationWorld::Do(std::size_t aEntry, const ForwardToOwner& aAction)
{
  SendMessage(aEntry,
              aAction.to_,
              [this, aAction, from = entries_[aEntry].id_](
                OperationCoordinator& aCore, OperationActions& aActions) {
                aCore.TakeForward(from, aAction.forward_, now_, aActions);
              });
}

void
OperationWorld::Do(std::size_t aEntry, const ReplyToEntry& aAction)
{
  SendMessage(
    aEntry,
    aAction.to_,
    [this, aAction](OperationCoordinator& aCore, OperationActions& aActions) {
      aCore.TakeReply(aAction.reply_, now_, aActions);
    });
}

void
OperationWorld::Do(std::size_t aEntry, const HandOver& aAction)
{
  SendMessage(
    aEntry,
    aAction.to_,
    [aAction](OperationCoordinator& aCore, OperationActions& aActions) {
      aCore.TakeHandover(aAction.part_, aActions);
    });
}

void
OperationWorld::Do(std::size_t aEntry, const AcknowledgeHandover& aAction)
{
  SendMessage(aEntry,
              aAction.to_,
              [aAction](OperationCoordinator& aCore, OperationActions&) {
                aCore.TakeHandoverAcknowledgement(aAction.acknowledgement_);
              });
}

void
OperationWorld::Do(std::size_t aEntry, const AnnounceOwner& aAction)
{
  for (const Entry& entry : entries_) {
    SendMessage(aEntry,
                entry.id_,
                [aAction](OperationCoordinator& aCore, OperationActions&) {
                  aCore.TakeOwnerMove(aAction.move_);
                });
  }
}

} // namespace azurecross

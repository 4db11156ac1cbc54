#include "OperationCoordinator.h"

namespace azurecross {

void
OperationCoordinator::StartClaimOutcome(
  const std::string& aAttempt,
  const RunningOperation& aRunning,
  Verdict aVerdict,
  const std::optional<StoredAnswer>& aAnswer,
  Time aNow)
{
  if (aVerdict == Verdict::NotRun) {
    // The claim stays: who finds it asks this entry and learns that the
    // attempt never ran.
    return;
  }
  FinishingClaim finishing;
  finishing.claim_ = aRunning.claim_;
  finishing.claim_.state_ =
    aVerdict == Verdict::Ran ? ClaimState::Finished : ClaimState::Unknown;
  const bool isSmall =
    aAnswer && aAnswer->CountBytes() <= settings_.claimAnswerLimitBytes_;
  if (aVerdict == Verdict::Ran && isSmall) {
    finishing.claim_.answer_ = aAnswer;
  }
  finishing.storeKey_ = aRunning.storeKey_;
  finishing.claimRevision_ = aRunning.claimRevision_;
  finishing.ledgerId_ = aRunning.ledgerId_;
  finishing.nextTryAt_ = aNow;
  finishing.giveUpAt_ = aNow + settings_.reportLimit_;
  finishing_.insert_or_assign(aAttempt, std::move(finishing));
}

void
OperationCoordinator::QueueClaimOutcome(const std::string& aAttempt,
                                        FinishingClaim& aFinishing)
{
  aFinishing.isInFlight_ = true;
  const std::uint64_t write = nextWrite_++;
  attemptsByWrite_[write] = aAttempt;
  writer_.Add({ write,
                aFinishing.storeKey_,
                aFinishing.claimRevision_,
                EncodeClaim(aFinishing.claim_),
                aFinishing.claim_.expiresMilliseconds_ });
}

void
OperationCoordinator::TakeOutcomeWriteResult(const std::string& aAttempt,
                                             const ClaimWriteResult& aResult,
                                             Time aNow)
{
  const auto found = finishing_.find(aAttempt);
  if (found == finishing_.end()) {
    return;
  }
  // A conflict means that the outcome is there already: nobody else replaces
  // the claim of an attempt that ran.
  const bool isDone = aResult.outcome_ == ClaimWriteOutcome::Applied ||
                      aResult.outcome_ == ClaimWriteOutcome::Conflict;
  if (isDone) {
    finishing_.erase(found);
    return;
  }
  constexpr unsigned kLargestShift = 10;
  constexpr double kJitter = 0.3;
  FinishingClaim& finishing = found->second;
  finishing.isInFlight_ = false;
  finishing.tries_ = std::min(finishing.tries_ + 1, kLargestShift);
  const Duration pause =
    settings_.storeRetryPause_ * (std::int64_t{ 1 } << finishing.tries_);
  finishing.nextTryAt_ = aNow + random_.Jitter(pause, kJitter);
}

void
OperationCoordinator::StepFinishing(Time aNow)
{
  for (auto entry = finishing_.begin(); entry != finishing_.end();) {
    FinishingClaim& finishing = entry->second;
    if (!finishing.isInFlight_ && aNow >= finishing.giveUpAt_) {
      entry = finishing_.erase(entry);
      continue;
    }
    if (!finishing.isInFlight_ && aNow >= finishing.nextTryAt_) {
      QueueClaimOutcome(entry->first, finishing);
    }
    ++entry;
  }
}

} // namespace azurecross

#include "ClaimDecision.h"

namespace azurecross {

ClaimAction
DecideClaim(const ClaimRecord& aFound, const ClaimRecord& aWanted)
{
  const bool isSameRequest = aFound.customer_ == aWanted.customer_ &&
                             aFound.key_ == aWanted.key_ &&
                             aFound.fingerprint_ == aWanted.fingerprint_;
  if (!isSameRequest) {
    return ClaimAction::ReportConflict;
  }
  switch (aFound.state_) {
    case ClaimState::Finished:
      return aFound.answer_ ? ClaimAction::Replay : ClaimAction::ReportRan;
    case ClaimState::Unknown:
      return ClaimAction::ReportUnknown;
    case ClaimState::Claimed:
      break;
  }
  return aFound.attempt_ == aWanted.attempt_ ? ClaimAction::Run
                                             : ClaimAction::AskHolder;
}

} // namespace azurecross

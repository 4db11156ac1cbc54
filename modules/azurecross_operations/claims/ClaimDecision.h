#pragma once

#include "ClaimRecord.h"

namespace azurecross {

/** What an attempt does about the claim that it found in the store. */
enum class ClaimAction
{
  /** The claim is this attempt's: it may run, once. */
  Run,
  Replay,
  /** The holder knows whether its attempt ran, runs or never will. */
  AskHolder,
  /** It ran, but the answer is not kept. */
  ReportRan,
  ReportUnknown,
  /** The key belongs to a different request. */
  ReportConflict,
};

inline constexpr NameTable<ClaimAction, 6> kClaimActionNames{
  { { { ClaimAction::Run, "run" },
      { ClaimAction::Replay, "replay" },
      { ClaimAction::AskHolder, "ask_holder" },
      { ClaimAction::ReportRan, "report_ran" },
      { ClaimAction::ReportUnknown, "report_unknown" },
      { ClaimAction::ReportConflict, "report_conflict" } } }
};

/**
 * Decides about a claim that exists in the store.
 * @param aWanted the claim that the attempt wants to hold.
 */
ClaimAction
DecideClaim(const ClaimRecord& aFound, const ClaimRecord& aWanted);

} // namespace azurecross

#pragma once

#include "../claims/ClaimRecord.h"
#include "../messages/OperationActions.h"

#include <cstdint>
#include <optional>
#include <string>

namespace azurecross {

/** What an undecided call waits for. */
enum class PendingPhase
{
  /** The result of a claim write. */
  WriteResult,
  /** The result of a claim read. */
  ReadResult,
  /** The time to write the claim again. */
  WritePause,
  /** The time to read the claim again. */
  ReadPause,
  /** The holder of the claim, which may be this entry. */
  Holder,
  /** The owner of the issued key, which may be this entry. */
  Owner,
};

/** A call that has no decision yet. */
struct PendingOperation
{
  OperationCall call_;
  std::string attempt_;
  PendingPhase phase_ = PendingPhase::Owner;
  Time nextStepAt_;
  Time lastHeard_;
  unsigned storeTries_ = 0;
  /** Whether another attempt under the key is known. */
  bool hasEarlierAttempt_ = false;
  /** Whether the holder did not answer and the claim is read a last time. */
  bool isLastRead_ = false;

  /** Owner of the issued key. */
  EntryId owner_;
  Incarnation incarnation_;

  /** For a caller's own key: the claim that the attempt wants. */
  ClaimRecord wanted_;
  std::string storeKey_;
  /** Its last write. */
  std::uint64_t write_ = 0;
  /** The claim found in the store, and its revision. */
  std::optional<ClaimRecord> found_;
  std::int64_t foundRevision_ = 0;
};

/** An attempt that was allowed to run at this entry. */
struct RunningOperation
{
  enum class Kind
  {
    Claim,
    /** Under an issued key of this entry. */
    OwnKey,
    /** Under an issued key that another entry decides about. */
    RemoteKey,
  };

  Kind kind_ = Kind::Claim;
  std::string ledgerId_;
  ClaimRecord claim_;
  std::string storeKey_;
  std::int64_t claimRevision_ = 0;
  /** Template of the report to the owner, for `RemoteKey`. */
  OperationForward report_;
};

/** An outcome on its way to the claim in the store. */
struct FinishingClaim
{
  ClaimRecord claim_;
  std::string storeKey_;
  std::int64_t claimRevision_ = 0;
  std::string ledgerId_;
  bool isInFlight_ = false;
  unsigned tries_ = 0;
  Time nextTryAt_;
  Time giveUpAt_;
};

/** An outcome on its way to the owner of an issued key. */
struct OutcomeReport
{
  OperationForward forward_;
  Time nextSendAt_;
  Time giveUpAt_;
};

} // namespace azurecross

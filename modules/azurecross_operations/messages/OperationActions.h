#pragma once

#include "../claims/ClaimWriter.h"
#include "OperationMessages.h"

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace azurecross {

/** A non-idempotent request with a key. */
struct OperationCall
{
  /** Chosen by the caller of the core; names the request in actions. */
  std::uint64_t token_ = 0;
  std::string key_;
  CustomerId customer_;
  /** Hash of method, target and body. @see ComputeFingerprint */
  std::uint64_t fingerprint_ = 0;
  /** The requester promises that it never sent the key before. */
  bool isFirstAttempt_ = false;
  Time deadline_;
};

/** Run the request now, unless it is later than `runBefore_`. */
struct RunOperation
{
  std::uint64_t token_ = 0;
  /** Passed to `Finish`. */
  std::string attempt_;
  Time runBefore_;
};

/** Give the caller the answer of the earlier run. */
struct ReplayAnswer
{
  std::uint64_t token_ = 0;
  StoredAnswer answer_;
};

struct RefuseOperation
{
  std::uint64_t token_ = 0;
  Error error_;
};

/**
 * Write claims in one transaction that compares the revision of each; if it
 * fails, read each and pass on which ones had a conflict.
 */
struct WriteClaims
{
  ClaimBatch batch_;
};

/** Read a claim; a linearizable read. */
struct ReadClaim
{
  /** Passed back with the result. */
  std::string attempt_;
  std::string storeKey_;
};

struct ForwardToOwner
{
  EntryId to_;
  OperationForward forward_;
};

struct ReplyToEntry
{
  EntryId to_;
  OperationReply reply_;
};

struct HandOver
{
  EntryId to_;
  OperationHandover part_;
};

struct AcknowledgeHandover
{
  EntryId to_;
  HandoverAcknowledgement acknowledgement_;
};

/** Tell the members of the zone who decides for a stopped entry. */
struct AnnounceOwner
{
  OwnerMove move_;
};

using OperationAction = std::variant<RunOperation,
                                     ReplayAnswer,
                                     RefuseOperation,
                                     WriteClaims,
                                     ReadClaim,
                                     ForwardToOwner,
                                     ReplyToEntry,
                                     HandOver,
                                     AcknowledgeHandover,
                                     AnnounceOwner>;

using OperationActions = std::vector<OperationAction>;

} // namespace azurecross

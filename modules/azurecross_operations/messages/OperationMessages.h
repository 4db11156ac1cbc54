#pragma once

#include "../ledger/OperationRecord.h"

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace azurecross {

/** What one entry asks of another about an operation. */
enum class ForwardKind
{
  /** May the attempt run the operation under an issued key? */
  BeginIssued,
  /** The outcome of an attempt that the owner allowed to run. */
  FinishIssued,
  /** What became of an attempt that holds a claim in the store? */
  AskAttempt,
};

inline constexpr NameTable<ForwardKind, 3> kForwardKindNames{
  { { { ForwardKind::BeginIssued, "begin_issued" },
      { ForwardKind::FinishIssued, "finish_issued" },
      { ForwardKind::AskAttempt, "ask_attempt" } } }
};

/** `OperationForward` of the peer protocol; may be lost, late or repeated. */
struct OperationForward
{
  ForwardKind kind_ = ForwardKind::BeginIssued;
  /** The entry and incarnation that decide about the operation. */
  EntryId owner_;
  Incarnation incarnation_;
  /** The attempt that asks or has finished; the reply names it. */
  std::string attempt_;
  /** The issued key. */
  std::string key_;
  CustomerId customer_;
  std::uint64_t fingerprint_ = 0;
  /** For `AskAttempt`. */
  std::string askedAttempt_;
  /** For `FinishIssued`. */
  Verdict verdict_ = Verdict::MayHaveRun;
  std::optional<StoredAnswer> answer_;
};

/** What the owner says. */
enum class ReplyKind
{
  /** The asking attempt may run, once. */
  Run,
  /** Another attempt is running. */
  Wait,
  Replay,
  /** It ran, but the answer is not kept. */
  Ran,
  Unknown,
  /** The attempt asked about did not run and never will. */
  NeverRan,
  Conflict,
  /** No room in the ledger; nothing ran. */
  Full,
  Malformed,
  Expired,
  /** Ask the successor. */
  Moved,
  /** The receiver knows nothing of that owner. */
  NotOwner,
  /** The outcome was taken; answers `FinishIssued`. */
  Noted,
};

inline constexpr NameTable<ReplyKind, 13> kReplyKindNames{
  { { { ReplyKind::Run, "run" },
      { ReplyKind::Wait, "wait" },
      { ReplyKind::Replay, "replay" },
      { ReplyKind::Ran, "ran" },
      { ReplyKind::Unknown, "unknown" },
      { ReplyKind::NeverRan, "never_ran" },
      { ReplyKind::Conflict, "conflict" },
      { ReplyKind::Full, "full" },
      { ReplyKind::Malformed, "malformed" },
      { ReplyKind::Expired, "expired" },
      { ReplyKind::Moved, "moved" },
      { ReplyKind::NotOwner, "not_owner" },
      { ReplyKind::Noted, "noted" } } }
};

/** `OperationReply` of the peer protocol. */
struct OperationReply
{
  ForwardKind asked_ = ForwardKind::BeginIssued;
  std::string attempt_;
  std::string key_;
  std::string askedAttempt_;
  ReplyKind kind_ = ReplyKind::Unknown;
  std::optional<StoredAnswer> answer_;
  /** The owner asked for. */
  EntryId owner_;
  Incarnation incarnation_;
  /** For `Moved`. */
  EntryId successor_;
};

/** The operations of one incarnation of an entry. */
struct OperationDomain
{
  EntryId owner_;
  Incarnation incarnation_;
  /** Verifies the keys that it issued. */
  std::string secret_;
  /**
   * Whether an operation without a record did not run. False for a copy that
   * may not be the only one.
   */
  bool mayStartNew_ = true;
};

/** `OperationHandover`: one part of the records of a stopping entry. */
struct OperationHandover
{
  std::uint64_t id_ = 0;
  EntryId from_;
  Incarnation incarnation_;
  /**
   * The incarnation of the successor that may take it. A later one must not:
   * an earlier one may have taken it, started operations and died.
   */
  Incarnation successorIncarnation_;
  std::uint32_t part_ = 0;
  std::uint32_t partCount_ = 1;
  std::vector<OperationDomain> domains_;
  std::vector<std::pair<std::string, OperationRecord>> records_;
};

struct HandoverAcknowledgement
{
  std::uint64_t id_ = 0;
  std::uint32_t part_ = 0;
};

/** Says which entry decides about the operations of one that has stopped. */
struct OwnerMove
{
  EntryId owner_;
  Incarnation incarnation_;
  EntryId successor_;
};

} // namespace azurecross

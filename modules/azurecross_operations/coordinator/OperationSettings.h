#pragma once

#include "../claims/ClaimWriter.h"
#include "../ledger/OperationLedger.h"

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <string>

namespace azurecross {

/** Settings and bounds of the operations core. */
struct OperationSettings
{
  EntryId entry_;
  Incarnation incarnation_;
  /** At least 16 random bytes; new for each incarnation. */
  std::string secret_;
  std::uint64_t seed_ = 0;
  /** Wall-clock time at `start_`; the core goes on from there by itself. */
  std::int64_t startMilliseconds_ = 0;
  Time start_;

  /** Life of issued keys and claims. */
  Duration keyLifetime_ = std::chrono::hours(24);
  /**
   * How much longer than its key a record is kept, so that clocks of two
   * owners may differ by less than this.
   */
  Duration recordGrace_ = std::chrono::hours(1);
  /** Calls that may wait for a decision at a time. */
  std::size_t pendingLimit_ = 10'000;
  /** Tries of a store call before the call is refused. */
  unsigned storeTryLimit_ = 5;
  /** First pause between tries; doubles with each. */
  Duration storeRetryPause_ = std::chrono::milliseconds(50);
  /** How often an unanswered message to an entry is repeated. */
  Duration forwardInterval_ = std::chrono::milliseconds(200);
  /** An entry silent for this long counts as unreachable. */
  Duration unreachableAfter_ = std::chrono::seconds(2);
  /** How long an outcome is reported to an owner or the store. */
  Duration reportLimit_ = std::chrono::minutes(10);
  /** Records in one part of a hand-over, and its bytes of answers. */
  std::size_t handoverPartRecords_ = 500;
  std::size_t handoverPartBytes_ = std::size_t{ 256 } << 10;
  /** Life of the outcome in claims: a larger answer is not stored there. */
  std::size_t claimAnswerLimitBytes_ = std::size_t{ 16 } << 10;

  LedgerLimits ledger_;
  ClaimWriterLimits claims_;
};

} // namespace azurecross

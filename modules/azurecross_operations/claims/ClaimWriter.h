#pragma once

#include "ClaimRecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azurecross {

/** One compare-and-swap of a claim. */
struct ClaimWrite
{
  /** Unique in this process; increasing ids give the order. */
  std::uint64_t id_ = 0;
  std::string storeKey_;
  /** The claim's store revision that the write replaces; 0 if none. */
  std::int64_t expectedRevision_ = 0;
  std::string value_;
  std::int64_t expiresMilliseconds_ = 0;
};

/** Several writes for one transaction; at most one for each store key. */
struct ClaimBatch
{
  std::uint64_t id_ = 0;
  std::vector<ClaimWrite> writes_;
};

enum class ClaimWriteOutcome
{
  Applied,
  /** Another write was first; the claim that is there is attached. */
  Conflict,
  /** Not written because another write of the batch had a conflict. */
  NotApplied,
  /** The answer was lost; the write may have taken or may yet take effect. */
  Lost,
  /** The store could not be reached; the write was not sent. */
  Unavailable,
};

inline constexpr NameTable<ClaimWriteOutcome, 5> kClaimWriteOutcomeNames{
  { { { ClaimWriteOutcome::Applied, "applied" },
      { ClaimWriteOutcome::Conflict, "conflict" },
      { ClaimWriteOutcome::NotApplied, "not_applied" },
      { ClaimWriteOutcome::Lost, "lost" },
      { ClaimWriteOutcome::Unavailable, "unavailable" } } }
};

struct ClaimWriteResult
{
  ClaimWriteOutcome outcome_ = ClaimWriteOutcome::Lost;
  /** The claim's store revision; set for `Applied` and `Conflict`. */
  std::int64_t revision_ = 0;
  /** The claim that is there; set for `Conflict`. */
  std::string value_;
};

/** Bounds of the writer's transactions. */
struct ClaimWriterLimits
{
  /** The store allows 128 operations in a transaction. */
  std::size_t batchLimit_ = 64;
  std::size_t batchLimitBytes_ = std::size_t{ 512 } << 10;
  std::size_t inFlightLimit_ = 2;
  /** After this time without an answer the writes count as lost. */
  Duration answerTimeout_ = std::chrono::seconds(5);
};

/**
 * Groups claim writes into few transactions: while transactions are in flight,
 * new writes collect and leave together as soon as an answer makes room. So
 * an idle store adds no wait and a busy one gets large batches.
 */
class ClaimWriter
{
public:
  explicit ClaimWriter(ClaimWriterLimits aLimits = {});

  void Add(ClaimWrite aWrite);
  /** Keeps a write from being sent, or from being sent again. */
  void Withdraw(std::uint64_t aWrite);
  /** @returns the next batch to send now, or nothing. */
  std::optional<ClaimBatch> TakeBatch(Time aNow);
  /**
   * Takes the results in the order of the batch's writes.
   * @returns the batch, or nothing if it isn't in flight any more. Writes that
   * were not applied are queued again and are left out, with their results.
   */
  std::optional<ClaimBatch> TakeResults(
    std::uint64_t aBatch,
    std::vector<ClaimWriteResult>& aResults);
  /** @returns the batches that got no answer in time. */
  std::vector<ClaimBatch> TakeOverdue(Time aNow);
  std::size_t CountQueued() const { return queue_.size(); }

private:
  struct InFlight
  {
    ClaimBatch batch_;
    Time sentAt_;
    std::set<std::uint64_t> withdrawn_;
  };

  ClaimWriterLimits limits_;
  std::uint64_t nextBatch_ = 1;
  std::map<std::uint64_t, ClaimWrite> queue_;
  std::map<std::uint64_t, InFlight> inFlight_;
};

} // namespace azurecross

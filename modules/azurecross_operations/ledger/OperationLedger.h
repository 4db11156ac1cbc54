#pragma once

#include "OperationRecord.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace azurecross {

/** Bounds of a ledger's memory. */
struct LedgerLimits
{
  /** 200,000 records of about 300 bytes are 60 MB. */
  std::size_t recordLimit_ = 200'000;
  /** A larger answer is not kept; a repeat is told that the operation ran. */
  std::size_t answerLimitBytes_ = std::size_t{ 64 } << 10;
  /** Beyond it the oldest answers are dropped; their records stay. */
  std::size_t totalAnswerLimitBytes_ = std::size_t{ 32 } << 20;
};

/**
 * Remembers which operations were allowed to run. A record is dropped only
 * at its expiry or after an outcome `NotRun`; a full ledger allows nothing
 * new, because forgetting a record could allow a second run.
 */
class OperationLedger
{
public:
  enum class BeginOutcome
  {
    /** Recorded as running; the attempt may run. */
    Run,
    /** Known; `Find` has the state. */
    Known,
    /** Known for a different request. */
    Conflict,
    /** No room for a new record. */
    Full,
  };

  explicit OperationLedger(LedgerLimits aLimits = {});

  /**
   * Allows the attempt to run if the operation is unknown. A repeat of the
   * running attempt itself is `Run` again, so that a lost answer can be
   * repeated; its runner runs it once.
   */
  BeginOutcome Begin(const std::string& aId, OperationRecord aRecord);

  /**
   * Records the outcome of the running attempt. `NotRun` drops the record, so
   * that another attempt may run; it is ignored once an outcome is known.
   * @returns whether the outcome was taken.
   */
  bool Finish(const std::string& aId,
              const std::string& aAttempt,
              Verdict aVerdict,
              std::optional<StoredAnswer> aAnswer);

  /** @returns the record, or null. */
  const OperationRecord* Find(const std::string& aId) const;
  /** Drops a record whose outcome is known elsewhere for good. */
  void Drop(const std::string& aId);
  /** Drops the records whose time has come. */
  void Expire(std::int64_t aNowMilliseconds);
  /** Adds a record of a predecessor, also beyond the limit on records. */
  void Import(const std::string& aId, OperationRecord aRecord);
  void ForEach(
    const std::function<void(const std::string& aId,
                             const OperationRecord& aRecord)>& aVisitor) const;

  bool IsFull() const { return records_.size() >= limits_.recordLimit_; }
  std::size_t CountRecords() const { return records_.size(); }
  std::size_t CountAnswerBytes() const { return answerBytes_; }

private:
  using Records = std::unordered_map<std::string, OperationRecord>;

  void Insert(const std::string& aId, OperationRecord aRecord);
  void StoreAnswer(const std::string& aId,
                   OperationRecord& aRecord,
                   std::optional<StoredAnswer> aAnswer);
  void DropAnswer(OperationRecord& aRecord);
  void DropOldestAnswers();
  void Erase(Records::iterator aRecord);

  LedgerLimits limits_;
  Records records_;
  std::multimap<std::int64_t, std::string> expiries_;
  /** Ids in the order in which their answers were stored. */
  std::deque<std::string> answerOrder_;
  std::size_t answerBytes_ = 0;
};

} // namespace azurecross

#pragma once

#include "../keys/OperationKeyCodec.h"
#include "../ledger/OperationLedger.h"
#include "../messages/OperationActions.h"
#include "OperationSettings.h"
#include "OwnershipTable.h"
#include "PendingOperation.h"

#include <azurecross_core/azurecross_core.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace azurecross {

/** What a store read of a claim gave. */
struct ClaimReadResult
{
  bool isAnswered_ = false;
  /** 0 if there is no claim. */
  std::int64_t revision_ = 0;
  std::string value_;
};

/**
 * Decides whether operations may run, and keeps the promise that none runs
 * twice. It does no I/O: each event appends actions for the caller to carry
 * out, and each action may be lost, late or repeated on its way.
 *
 * An attempt is allowed to run only
 * - after its own claim write, compared with the revision that it saw, is
 *   known to have taken effect (a caller's own key), or
 * - by the owner of the key, which recorded it first (an issued key),
 *
 * and never after the call was refused.
 */
class OperationCoordinator
{
public:
  explicit OperationCoordinator(OperationSettings aSettings);

  /** @returns the text of a new operation key; nothing once records moved. */
  std::optional<std::string> IssueKey(Time aNow);

  /** Starts a decision: one `Run`, `Replay` or `Refuse` action follows. */
  void Begin(OperationCall aCall, Time aNow, OperationActions& aActions);
  /** The caller left before the decision. */
  void Cancel(std::uint64_t aToken, Time aNow, OperationActions& aActions);
  /** The outcome of a run; exactly once for each `Run` action. */
  void Finish(const std::string& aAttempt,
              Verdict aVerdict,
              std::optional<StoredAnswer> aAnswer,
              Time aNow,
              OperationActions& aActions);

  /** @param aResults in the order of the batch's writes. */
  void TakeWriteResults(std::uint64_t aBatch,
                        std::vector<ClaimWriteResult> aResults,
                        Time aNow,
                        OperationActions& aActions);
  void TakeReadResult(const std::string& aAttempt,
                      const ClaimReadResult& aResult,
                      Time aNow,
                      OperationActions& aActions);

  void TakeForward(const EntryId& aFrom,
                   const OperationForward& aForward,
                   Time aNow,
                   OperationActions& aActions);
  void TakeReply(const OperationReply& aReply,
                 Time aNow,
                 OperationActions& aActions);

  /**
   * Gives all records to a live member, on a planned stop after the last
   * request. From here on nothing runs. Once another successor has been
   * named, records only answer repeats there: nothing new starts.
   */
  void StartHandover(const EntryId& aSuccessor,
                     Incarnation aSuccessorIncarnation,
                     Time aNow,
                     OperationActions& aActions);
  /** @returns whether the successor has everything. */
  bool IsHandedOver() const;
  void TakeHandover(const OperationHandover& aPart, OperationActions& aActions);
  void TakeHandoverAcknowledgement(
    const HandoverAcknowledgement& aAcknowledgement);
  void TakeOwnerMove(const OwnerMove& aMove) { owners_.NoteMove(aMove); }

  /** Repeats, times out and expires; call it every 50 to 100 ms. */
  void Tick(Time aNow, OperationActions& aActions);

  const OperationLedger& GetLedger() const { return ledger_; }
  std::size_t CountPending() const { return pending_.size(); }
  std::size_t CountRunning() const { return running_.size(); }

private:
  using Pending = PendingOperation;

  std::int64_t ReadMilliseconds(Time aNow) const;
  std::int64_t ComputeRecordExpiry(std::int64_t aKeyExpiry) const;
  std::string MakeAttempt();
  void Remove(const std::string& aAttempt);
  void Run(const std::string& aAttempt,
           RunningOperation aRunning,
           OperationActions& aActions);
  void Replay(const std::string& aAttempt,
              StoredAnswer aAnswer,
              OperationActions& aActions);
  void Refuse(const std::string& aAttempt,
              ErrorCode aCode,
              Verdict aVerdict,
              std::string aMessage,
              OperationActions& aActions);
  /** Refuses a call of which only the requester may know earlier attempts. */
  void RefuseUnproven(const std::string& aAttempt,
                      ErrorCode aCode,
                      std::string aMessage,
                      OperationActions& aActions);
  void StepPending(const std::string& aAttempt,
                   Time aNow,
                   OperationActions& aActions);

  void BeginCallerKey(Pending& aPending, Time aNow);
  void QueueClaim(Pending& aPending);
  void ReadStoredClaim(Pending& aPending, OperationActions& aActions);
  void TakeClaimWriteResult(const std::string& aAttempt,
                            const ClaimWriteResult& aResult,
                            Time aNow,
                            OperationActions& aActions);
  void PauseStoreCall(const std::string& aAttempt,
                      PendingPhase aNext,
                      Time aNow,
                      OperationActions& aActions);
  void ObserveClaim(const std::string& aAttempt,
                    std::int64_t aRevision,
                    const std::string& aValue,
                    Time aNow,
                    OperationActions& aActions);
  void RunClaim(const std::string& aAttempt,
                std::int64_t aRevision,
                Time aNow,
                OperationActions& aActions);
  void AskHolder(const std::string& aAttempt,
                 Time aNow,
                 OperationActions& aActions);
  void TakeHolderReply(const std::string& aAttempt,
                       const OperationReply& aReply,
                       Time aNow,
                       OperationActions& aActions);
  OperationReply DescribeAttempt(const OperationForward& aForward) const;
  void StartClaimOutcome(const std::string& aAttempt,
                         const RunningOperation& aRunning,
                         Verdict aVerdict,
                         const std::optional<StoredAnswer>& aAnswer,
                         Time aNow);
  void QueueClaimOutcome(const std::string& aAttempt,
                         FinishingClaim& aFinishing);
  void TakeOutcomeWriteResult(const std::string& aAttempt,
                              const ClaimWriteResult& aResult,
                              Time aNow);
  void StepFinishing(Time aNow);
  void SendClaims(Time aNow, OperationActions& aActions);

  void BeginIssuedKey(Pending& aPending,
                      const OperationKey& aKey,
                      Time aNow,
                      OperationActions& aActions);
  OperationForward MakeBeginForward(const Pending& aPending) const;
  void AskOwner(const std::string& aAttempt,
                Time aNow,
                OperationActions& aActions);
  OperationReply DecideIssued(const OperationForward& aForward,
                              const EntryId& aRunner,
                              Time aNow);
  void TakeOwnerReply(const std::string& aAttempt,
                      const OperationReply& aReply,
                      bool aIsLocal,
                      Time aNow,
                      OperationActions& aActions);
  void RunIssued(const std::string& aAttempt,
                 bool aIsLocal,
                 Time aNow,
                 OperationActions& aActions);
  void TakeUnexpectedRun(const OperationReply& aReply,
                         Time aNow,
                         OperationActions& aActions);
  void TakeReportReply(const OperationReply& aReply, Time aNow);
  void NoteOutcome(const OperationForward& aForward);
  void StartReport(OperationForward aForward, Time aNow);
  void GiveBackIssued(const Pending& aPending, Time aNow);
  void StepReports(Time aNow, OperationActions& aActions);
  OperationReply MakeAbsentReply(const OperationForward& aForward) const;

  void SendHandoverParts(Time aNow, OperationActions& aActions);

  OperationSettings settings_;
  Random random_;
  OwnershipTable owners_;
  OperationKeyCodec codec_;
  /** Begins the attempts of this incarnation, and only those. */
  std::string attemptPrefix_;
  OperationLedger ledger_;
  ClaimWriter writer_;
  std::uint64_t nextAttempt_ = 1;
  std::uint64_t nextWrite_ = 1;

  std::unordered_map<std::string, Pending> pending_;
  std::unordered_map<std::uint64_t, std::string> attemptsByToken_;
  std::unordered_map<std::string, RunningOperation> running_;
  std::unordered_map<std::string, FinishingClaim> finishing_;
  std::unordered_map<std::string, OutcomeReport> reports_;
  std::unordered_map<std::uint64_t, std::string> attemptsByWrite_;

  EntryId successor_;
  /** Parts without acknowledgement. */
  std::map<std::uint32_t, OperationHandover> handoverParts_;
  Time nextHandoverAt_;
  /** Parts received so far, by sender and hand-over. */
  std::map<std::tuple<EntryId, Incarnation, std::uint64_t>,
           std::set<std::uint32_t>>
    receivedParts_;
};

} // namespace azurecross

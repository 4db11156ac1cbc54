#pragma once

#include <azurecross_operations/azurecross_operations.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace azurecross {

/** How unreliable the world is; rates are per event. */
struct WorldFaults
{
  double messageLoss_ = 0;
  double messageRepeat_ = 0;
  double storeLoss_ = 0;
  double storeOutage_ = 0;
  double pause_ = 0;
  double crash_ = 0;
  double plannedStop_ = 0;
  double partition_ = 0;
  double concurrentRepeat_ = 0;
  Duration longestDelay_ = std::chrono::milliseconds(20);
};

/**
 * Several coordinators, a store and callers on a virtual clock. It carries
 * out the actions, loses, repeats and delays them, and checks the promises:
 * at most one run for each key, and no `not_run` after a run.
 */
class OperationWorld
{
public:
  OperationWorld(std::uint64_t aSeed,
                 std::size_t aEntryCount,
                 WorldFaults aFaults);

  /** Lets callers send operations under this many keys, then runs on. */
  void Play(int aKeyCount, Duration aDuration);
  /** Runs for a while without new faults. */
  void Settle(Duration aDuration);

  /** @returns a description of each broken promise. */
  const std::vector<std::string>& GetViolations() const { return violations_; }
  int CountRuns() const { return totalRuns_; }
  int CountReplays() const { return replays_; }
  int CountRefusals(Verdict aVerdict) { return refusals_[aVerdict]; }
  int CountStoreCalls() const { return storeCalls_; }

private:
  struct Entry
  {
    EntryId id_;
    std::uint64_t incarnation_ = 0;
    std::unique_ptr<OperationCoordinator> core_;
    Time pausedUntil_{};
    bool isStopping_ = false;
    Time stopsAt_{};
  };

  struct Operation
  {
    std::string key_;
    int runs_ = 0;
    /** Tokens of the attempts that ran; later attempts have higher ones. */
    std::set<std::uint64_t> ranTokens_;
    int sent_ = 0;
    bool isDone_ = false;
    std::string answer_;
    Time nextAttemptAt_{};
  };

  struct Event
  {
    Time dueAt_;
    /** The entry that takes it, or -1 for the store and callers. */
    int entry_ = -1;
    std::uint64_t incarnation_ = 0;
    std::function<void()> run_;
  };

  struct StoredClaim
  {
    std::string value_;
    std::int64_t revision_ = 0;
  };

  void Start(std::size_t aEntry);
  void Step(bool aHasFaults);
  void DeliverDue();
  void InjectFaults();
  void StepStops();
  void SendAttempts();
  void SendAttempt(std::size_t aOperation);
  bool Draw(double aRate) { return random_.DrawUnit() < aRate; }
  Duration DrawDelay();
  void Schedule(Duration aDelay, int aEntry, std::function<void()> aRun);
  /** Calls the entry's core and carries out the actions that follow. */
  void Call(std::size_t aEntry,
            const std::function<void(OperationCoordinator&, OperationActions&)>&
              aFunction);
  void SendMessage(
    std::size_t aFrom,
    const EntryId& aTo,
    std::function<void(OperationCoordinator&, OperationActions&)> aFunction);
  std::size_t FindEntry(const EntryId& aId) const;
  bool IsCut(std::size_t aFrom, std::size_t aTo) const;

  void CarryOut(std::size_t aEntry, OperationActions aActions);
  void Do(std::size_t aEntry, const RunOperation& aAction);
  void Do(std::size_t aEntry, const ReplayAnswer& aAction);
  void Do(std::size_t aEntry, const RefuseOperation& aAction);
  void Do(std::size_t aEntry, const WriteClaims& aAction);
  void Do(std::size_t aEntry, const ReadClaim& aAction);
  void Do(std::size_t aEntry, const ForwardToOwner& aAction);
  void Do(std::size_t aEntry, const ReplyToEntry& aAction);
  void Do(std::size_t aEntry, const HandOver& aAction);
  void Do(std::size_t aEntry, const AcknowledgeHandover& aAction);
  void Do(std::size_t aEntry, const AnnounceOwner& aAction);
  void RunAtBackend(std::size_t aEntry,
                    const RunOperation& aAction,
                    std::size_t aOperation);
  /** Passes a store result on, unless the process that called has ended. */
  void Report(
    std::size_t aEntry,
    std::uint64_t aIncarnation,
    std::function<void(OperationCoordinator&, OperationActions&)> aFunction);
  std::vector<ClaimWriteResult> CommitClaims(const ClaimBatch& aBatch);
  /**
   * Checks a refusal as `not_run`. An attempt that the requester declared the
   * first may be overtaken by its own later repeats; else no attempt may have
   * run.
   */
  void CheckNotRun(std::uint64_t aToken, const std::string& aWhere);

  Random random_;
  WorldFaults faults_;
  bool hasFaults_ = true;
  Time now_{ std::chrono::hours(1) };
  Time storeDownUntil_{};
  bool isStoreBlackHole_ = false;
  Time partitionUntil_{};
  std::size_t cutEntry_ = 0;
  std::vector<Entry> entries_;
  std::vector<Operation> operations_;
  std::vector<Event> events_;
  std::map<std::string, StoredClaim> store_;
  std::int64_t storeRevision_ = 0;
  std::uint64_t nextToken_ = 1;
  std::map<std::uint64_t, std::size_t> operationsByToken_;
  std::set<std::uint64_t> firstAttempts_;
  std::set<std::uint64_t> refusedTokens_;
  std::vector<std::string> violations_;
  int totalRuns_ = 0;
  int replays_ = 0;
  int storeCalls_ = 0;
  std::map<Verdict, int> refusals_;
};

} // namespace azurecross

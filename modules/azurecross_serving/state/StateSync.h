#pragma once

#include "../forward/AsyncCondition.h"
#include "ServingState.h"
#include "StateSource.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <functional>
#include <vector>

namespace azurecross {

/**
 * Synchronizes the state of one daemon with the store.
 *
 * Watches deliver changes. A watch without changes doesn't confirm that the
 * state is current: its connection may have stalled, and a store replica that
 * has lost its history learns of changes late. The tables are therefore also
 * read at regular intervals, which confirms that they are the newest.
 */
template<StateSource Source>
class StateSync
{
public:
  using MemberListHandler =
    std::function<void(const std::vector<MemberRecord>&)>;

  StateSync(boost::asio::io_context& aContext,
            Source& aSource,
            ServingState& aState,
            DecisionLog& aLog,
            ServingMetrics& aMetrics,
            std::uint64_t aSeed)
    : context_(aContext)
    , source_(aSource)
    , state_(aState)
    , log_(aLog)
    , metrics_(aMetrics)
    , random_(aSeed)
    , confirmationRequested_(aContext.get_executor())
    , tablesConfirmed_(aContext.get_executor())
    , storeRecovered_(aContext.get_executor())
    , memberListReceived_(aContext.get_executor())
  {
  }

  StateSync(const StateSync&) = delete;
  StateSync& operator=(const StateSync&) = delete;

  /** Starts the synchronization.
   * @param aSelf this daemon's own record.
   * @param aOnMemberList receives each list of live daemons. */
  void Start(MemberRecord aSelf, MemberListHandler aOnMemberList)
  {
    self_ = std::move(aSelf);
    joinDeadline_ = ReadMonotonicTime() + kMaxJoinWait;
    onMemberList_ = std::move(aOnMemberList);
    Spawn(RunTablesWatch());
    Spawn(ConfirmTables());
    Spawn(RunServersWatch());
    Spawn(MaintainMembership());
  }

  /** Sets the interval between the reads that confirm the tables. */
  void SetConfirmationInterval(Duration aInterval)
  {
    confirmationInterval_ = aInterval;
  }

  /** Reads the tables now instead of at the next interval, for example after a
   * peer has reported that the store answers. */
  void RequestTablesConfirmation() { confirmationRequested_.Notify(); }

  /** Reads the tables now and waits until the read confirms them as the newest.
   * @returns whether the confirmation arrived before the timeout. */
  boost::asio::awaitable<bool> AwaitTablesConfirmation(Duration aTimeout)
  {
    confirmationRequested_.Notify();
    co_return co_await tablesConfirmed_.Wait(aTimeout);
  }

  /** Interval between reads of the tables; well below the key revocation delay
   * and the limit of two seconds for changes that a watch missed. */
  static constexpr Duration kConfirmationInterval =
    std::chrono::milliseconds(750);
  /** Delay before the next watch, which batches changes in quick succession. */
  static constexpr Duration kWatchDelay = std::chrono::milliseconds(30);

private:
  static constexpr Duration kMembershipInterval = std::chrono::seconds(3);
  /** Time from the registration to the first list of members. Daemons started
   * at the same time have registered by then, so that the list is complete. */
  static constexpr Duration kRegistrationSettleTime =
    std::chrono::milliseconds(600);
  /** Added to the interval for each daemon, which bounds the total call rate of
   * all daemons. */
  static constexpr Duration kMembershipIntervalPerDaemon =
    std::chrono::milliseconds(50);
  /** Time after which a daemon that is missing in a list of members writes its
   * record again, although its lease is renewed. Lists of other daemons are
   * some seconds old. */
  static constexpr Duration kMaxUnlistedTime = std::chrono::seconds(10);
  /** Less than half of the lifetime of a lease, so that one renewal may fail.
   */
  static constexpr Duration kMaxMembershipInterval = std::chrono::seconds(8);
  /** Delay after the first failed call; grows with each further failure. */
  static constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(250);
  static constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(500);
  /** Longest delay between attempts to register. Frequent attempts don't help
   * while the store rejects this daemon: its peers keep their last list. */
  static constexpr Duration kMaxMembershipRetryDelay = std::chrono::seconds(4);
  /** While the store is lost, only the confirmation of the tables calls it.
   * Other calls wait for its recovery and are retried after this time. */
  static constexpr Duration kMaxRecoveryWait = std::chrono::seconds(5);
  /** Longest delay of the first reads after the start. They wait for the list
   * of members, which decides whether this daemon reads from the store. */
  static constexpr Duration kMaxJoinWait = std::chrono::milliseconds(1500);
  /** Consecutive failed calls after which the store counts as lost. */
  static constexpr unsigned kFailuresUntilLost = 2;
  /** Time after the recovery of the store in which a missing registration may
   * have expired during the outage. */
  static constexpr Duration kOutageRecoveryTime = std::chrono::seconds(2);

  void Spawn(boost::asio::awaitable<void> aTask)
  {
    boost::asio::co_spawn(context_, std::move(aTask), boost::asio::detached);
  }

  boost::asio::awaitable<void> Sleep(Duration aTime)
  {
    boost::asio::steady_timer timer(context_, aTime);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  /** Records the outcome of a call; logs the loss and the recovery of the
   * store. */
  void RecordCall(std::string_view aCall,
                  bool aIsAnswered,
                  std::string_view aReason)
  {
    metrics_.CountStoreCall(aCall, aIsAnswered);
    const Time now = ReadMonotonicTime();
    if (aIsAnswered) {
      consecutiveFailures_ = 0;
      if (isStoreLost_) {
        isStoreLost_ = false;
        storeRecoveredAt_ = now;
        state_.SetStoreReachable(true);
        log_.Write(Decision::DependencyRegained,
                   { { "dependency", "store" },
                     { "call", aCall },
                     { "lost_for_s", ToSeconds(now - storeLostAt_) } });
        storeRecovered_.Notify();
      }
      return;
    }
    if (++consecutiveFailures_ >= kFailuresUntilLost && !isStoreLost_) {
      isStoreLost_ = true;
      storeLostAt_ = now;
      state_.SetStoreReachable(false);
      log_.Write(Decision::DependencyLost,
                 { { "dependency", "store" },
                   { "call", aCall },
                   { "reason", aReason } });
    }
  }

  bool IsAfterOutage() const
  {
    return isStoreLost_ ||
           ReadMonotonicTime() - storeRecoveredAt_ < kOutageRecoveryTime;
  }

  /** Delay before the first retry. Short, because daemons query engines for
   * leaving notices themselves as soon as the store counts as lost. */
  static constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(50);

  Duration GetRetryDelay(unsigned aFailures, Duration aMaxDelay)
  {
    return random_.Jitter(std::min(kInitialRetryDelay * aFailures, aMaxDelay),
                          0.5);
  }

  /** Waits before the full state is read again: briefly if only the change
   * history was lost, longer after failed calls, and until the recovery while
   * the store is lost. */
  boost::asio::awaitable<void> DelayAfterFailures(unsigned aFailures)
  {
    if (aFailures == 0) {
      co_await Sleep(kWatchDelay);
      co_return;
    }
    if (!isStoreLost_) {
      co_await Sleep(GetRetryDelay(aFailures, kMaxRetryDelay));
    }
    co_await AwaitStoreRecovery();
  }

  /** Waits until a lost store recovers or `kMaxRecoveryWait` has passed. */
  boost::asio::awaitable<void> AwaitStoreRecovery()
  {
    const Time deadline = ReadMonotonicTime() + kMaxRecoveryWait;
    while (isStoreLost_ && ReadMonotonicTime() < deadline) {
      co_await storeRecovered_.Wait(deadline - ReadMonotonicTime());
    }
  }

  /** Waits for the first list of members. The wait is limited, so that changes
   * are not delayed if the store rejects registrations. */
  boost::asio::awaitable<void> AwaitMemberList()
  {
    while (!hasMemberList_ && ReadMonotonicTime() < joinDeadline_) {
      co_await memberListReceived_.Wait(joinDeadline_ - ReadMonotonicTime());
    }
  }

  /** Applies the tables of a read or of a watch. Tables without customers are
   * compared with what has been recorded first: the daemon may have seen none
   * before. The source doesn't return the tables again, so they are kept until
   * that is possible. */
  boost::asio::awaitable<void> ApplySnapshot(TablesSnapshot& aSnapshot)
  {
    // First, so that this daemon isn't ready before it knows the zones.
    if (aSnapshot.evacuatedZones_) {
      state_.ApplyEvacuatedZones(*aSnapshot.evacuatedZones_,
                                 ReadMonotonicTime());
    }
    if (!aSnapshot.defect_.empty()) {
      state_.RejectTables(aSnapshot.GetVersion(), aSnapshot.defect_);
      co_return;
    }
    const bool hasCustomers =
      aSnapshot.content_ && aSnapshot.content_->customers_;
    if (aSnapshot.content_ && !hasCustomers && !state_.RequiresCustomers()) {
      co_await ReadCustomersRecord();
    }
    state_.ApplyTables(std::move(aSnapshot.content_), ReadMonotonicTime());
  }

  /** Reads whether the tables have ever listed customers, until the source
   * answers. */
  boost::asio::awaitable<void> ReadCustomersRecord()
  {
    for (unsigned failures = 1;; ++failures) {
      const AsyncResult<bool> recorded =
        co_await source_.WereCustomersRecorded();
      RecordCall("read_customers_record",
                 IsSourceAnswer(recorded),
                 GetErrorMessage(recorded));
      if (recorded) {
        if (*recorded) {
          state_.SetRequiresCustomers(true);
        }
        co_return;
      }
      co_await Sleep(GetRetryDelay(failures, kMaxRetryDelay));
    }
  }

  /** Records once that the tables list customers. */
  boost::asio::awaitable<void> RecordCustomers()
  {
    const ServingTablesPtr& tables = state_.GetTables();
    if (areCustomersRecorded_ || !tables || !tables->NeedApiKeys()) {
      co_return;
    }
    const AsyncResult<bool> recorded = co_await source_.RecordCustomers();
    const bool isOtherDaemonsTask = recorded && !*recorded;
    if (isOtherDaemonsTask) {
      co_return;
    }
    areCustomersRecorded_ = recorded.has_value();
    RecordCall(
      "record_customers", IsSourceAnswer(recorded), GetErrorMessage(recorded));
  }

  /** Watches the tables from the revision of the last confirmation on, which
   * is the only full read: each daemon of a fleet would read them twice. */
  boost::asio::awaitable<void> RunTablesWatch()
  {
    unsigned failures = 0;
    for (;;) {
      if (tablesRevision_ == 0) {
        co_await tablesConfirmed_.Wait(kMaxRecoveryWait);
        continue;
      }
      AsyncResult<TablesSnapshot> result =
        co_await source_.WatchTables(tablesRevision_);
      RecordCall(
        "watch_tables", IsSourceAnswer(result), GetErrorMessage(result));
      if (!result) {
        tablesRevision_ = 0;
        failures += IsSourceAnswer(result) ? 0 : 1;
        co_await DelayAfterFailures(failures);
        confirmationRequested_.Notify();
        continue;
      }
      failures = 0;
      tablesRevision_ = result->revision_;
      co_await ApplySnapshot(*result);
      co_await Sleep(kWatchDelay);
    }
  }

  boost::asio::awaitable<void> ConfirmTables()
  {
    unsigned failures = 0;
    co_await AwaitMemberList();
    for (;;) {
      const Time sentAt = ReadBootTime();
      AsyncResult<TablesSnapshot> result = co_await source_.ReadTables();
      RecordCall(
        "read_tables", IsSourceAnswer(result), GetErrorMessage(result));
      if (!result) {
        if (result.error().code_ == ErrorCode::InvalidTables) {
          state_.RejectTables(0, result.error().message_);
        }
        const bool isFirst = ++failures == 1;
        co_await confirmationRequested_.Wait(
          isFirst ? kFirstRetryDelay : GetRetryDelay(failures, kMaxRetryDelay));
        continue;
      }
      failures = 0;
      if (tablesRevision_ == 0) {
        tablesRevision_ = result->revision_;
      }
      const std::uint64_t version = result->GetVersion();
      co_await ApplySnapshot(*result);
      state_.ConfirmTables(version, sentAt - result->age_);
      tablesConfirmed_.Notify();
      co_await RecordCustomers();
      co_await confirmationRequested_.Wait(confirmationInterval_);
    }
  }

  boost::asio::awaitable<void> RunServersWatch()
  {
    unsigned failures = 0;
    std::uint64_t revision = 0;
    co_await AwaitMemberList();
    for (;;) {
      const bool isListing = revision == 0;
      AsyncResult<ServersUpdate> result = ServersUpdate();
      if (isListing) {
        result = co_await source_.ListServers();
      } else {
        result = co_await source_.WatchServers(revision);
      }
      const Time now = ReadMonotonicTime();
      RecordCall(
        "watch_servers", IsSourceAnswer(result), GetErrorMessage(result));
      if (!result) {
        revision = 0;
        failures += IsSourceAnswer(result) ? 0 : 1;
        co_await DelayAfterFailures(failures);
        continue;
      }
      failures = 0;
      revision = result->revision_;
      const bool isAfterOutage = IsAfterOutage() || result->isAfterRestore_;
      if (isListing) {
        state_.ApplyServerList(result->servers_, isAfterOutage, now);
      } else {
        state_.ApplyServerEvents(result->servers_, isAfterOutage, now);
      }
      co_await Sleep(kWatchDelay);
    }
  }

  boost::asio::awaitable<void> MaintainMembership()
  {
    // The daemons that were there before this one. None if all of them have
    // just been started for the first time.
    co_await UpdateMembers();
    bool isRegistered = false;
    unsigned renewals = 0;
    unsigned failures = 0;
    for (;;) {
      AsyncResult<bool> lease = true;
      if (isRegistered) {
        lease = co_await source_.KeepAlive();
      } else {
        lease = co_await source_.Register(self_);
      }
      RecordCall("register", IsSourceAnswer(lease), GetErrorMessage(lease));
      if (!lease) {
        // The lease outlasts most outages, so other errors don't end it.
        isRegistered =
          isRegistered && lease.error().code_ != ErrorCode::GenerationLost;
        co_await AwaitStoreRecovery();
        co_await Sleep(GetRetryDelay(++failures, kMaxMembershipRetryDelay));
        continue;
      }
      if (!isRegistered) {
        isRegistered = true;
        lastListedAt_ = ReadMonotonicTime();
        isUnlisted_ = false;
      }
      failures = 0;
      if (!hasMemberList_) {
        co_await Sleep(kRegistrationSettleTime);
      }
      const std::size_t count = co_await UpdateMembers();
      if (isUnlisted_) {
        log_.Write(Decision::RecordMissing,
                   { { "members", count },
                     { "unlisted_for_s",
                       ToSeconds(ReadMonotonicTime() - lastListedAt_) } });
        isRegistered = false;
        isUnlisted_ = false;
        continue;
      }
      // Daemons that were started together are listed completely soon after.
      const Duration interval =
        renewals++ == 0 ? kMembershipInterval
                        : std::min<Duration>(kMembershipInterval +
                                               kMembershipIntervalPerDaemon *
                                                 static_cast<int>(count),
                                             kMaxMembershipInterval);
      co_await Sleep(random_.Jitter(interval, 0.2));
    }
  }

  /** Reads the list of live daemons, which may be some seconds old, and whether
   * this daemon is missing in it.
   * @returns the number of daemons; 0 if the list can't be read. */
  boost::asio::awaitable<std::size_t> UpdateMembers()
  {
    AsyncResult<std::vector<MemberRecord>> members =
      co_await source_.ListMembers(true);
    RecordCall("list_members", members.has_value(), GetErrorMessage(members));
    if (!members || members->empty()) {
      co_return 0;
    }
    const bool isListed = std::any_of(
      members->begin(), members->end(), [this](const MemberRecord& aMember) {
        return aMember.peerAddress_ == self_.peerAddress_;
      });
    const Time now = ReadMonotonicTime();
    lastListedAt_ = isListed ? now : lastListedAt_;
    isUnlisted_ = now - lastListedAt_ > kMaxUnlistedTime;
    onMemberList_(*members);
    hasMemberList_ = true;
    memberListReceived_.Notify();
    co_return members->size();
  }

  template<typename Value>
  static std::string GetErrorMessage(const AsyncResult<Value>& aResult)
  {
    return aResult.has_error() ? aResult.error().message_ : std::string();
  }

  boost::asio::io_context& context_;
  Source& source_;
  ServingState& state_;
  DecisionLog& log_;
  ServingMetrics& metrics_;
  Random random_;
  AsyncCondition confirmationRequested_;
  AsyncCondition tablesConfirmed_;
  AsyncCondition storeRecovered_;
  AsyncCondition memberListReceived_;
  Duration confirmationInterval_ = kConfirmationInterval;
  /** The revision from which the tables are watched; 0 if they must be read
   * first. */
  std::uint64_t tablesRevision_ = 0;
  bool hasMemberList_ = false;
  bool areCustomersRecorded_ = false;
  /** When a list of members last had this daemon, or its record was written. */
  Time lastListedAt_;
  /** Whether the last list lacks this daemon for longer than a list is old. */
  bool isUnlisted_ = false;
  Time joinDeadline_;
  MemberRecord self_;
  MemberListHandler onMemberList_;
  unsigned consecutiveFailures_ = 0;
  bool isStoreLost_ = false;
  Time storeLostAt_;
  Time storeRecoveredAt_ = Time(-std::chrono::hours(1));
};

} // namespace azurecross

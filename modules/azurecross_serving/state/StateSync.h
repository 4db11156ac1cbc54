#pragma once

#include "../forward/Signal.h"
#include "ServingState.h"
#include "StateSource.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <vector>

namespace azurecross {

/**
 * Keeps the state of one daemon in step with the store.
 *
 * Changes come through watches. A watch that says nothing proves nothing: its
 * connection may have gone silent, and a store that has lost its history hears
 * of changes late. So the tables are also read regularly, and that read is the
 * proof that they are the newest.
 */
template<StateSource Source>
class StateSync
{
public:
  using MembersHandler = std::function<void(const std::vector<MemberRecord>&)>;

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
    , proofWanted_(aContext.get_executor())
    , proved_(aContext.get_executor())
    , regained_(aContext.get_executor())
    , membersKnown_(aContext.get_executor())
  {
  }

  StateSync(const StateSync&) = delete;
  StateSync& operator=(const StateSync&) = delete;

  /** Starts to follow the store. @param aSelf this daemon's own record. */
  void Start(MemberRecord aSelf, MembersHandler aOnMembers)
  {
    self_ = std::move(aSelf);
    joinEnd_ = ReadMonotonicTime() + kLongestJoinWait;
    onMembers_ = std::move(aOnMembers);
    Spawn(FollowTables());
    Spawn(ConfirmTables());
    Spawn(FollowServers());
    Spawn(FollowMembers());
  }

  /** Reads the tables again at once, after word that the store answers. */
  void Retry() { proofWanted_.Notify(); }

  /** Asks for a proof now and waits for it.
   * @returns whether one came in time. */
  boost::asio::awaitable<bool> AwaitTablesConfirmation(Duration aLongest)
  {
    proofWanted_.Notify();
    co_return co_await proved_.Wait(aLongest);
  }

private:
  /** Age at which the tables are read again; well below the bound for removed
   * keys, and below that of two seconds for changes that a watch missed. */
  static constexpr Duration kProofInterval = std::chrono::milliseconds(750);
  static constexpr Duration kMemberInterval = std::chrono::seconds(3);
  /** Daemons that start together have registered after this time; the first
   * list is then complete. */
  static constexpr Duration kJoinTime = std::chrono::milliseconds(600);
  /** Keeps the calls of all daemons together bounded. */
  static constexpr Duration kMemberIntervalPerDaemon =
    std::chrono::milliseconds(50);
  /** First pause after a failed call; grows with each further failure. */
  static constexpr Duration kRetryPause = std::chrono::milliseconds(250);
  static constexpr Duration kLongestRetryPause = std::chrono::milliseconds(500);
  /** Longest pause between attempts to register, which help nobody while the
   * store turns this daemon away: its peers know it from their last list. */
  static constexpr Duration kLongestMemberPause = std::chrono::seconds(4);
  /** Pause while the operator has written no tables yet. */
  static constexpr Duration kNoTablesPause = std::chrono::milliseconds(500);
  /** While the store is lost, only the proof asks for it; other calls wait for
   * its return, and try by themselves after this time. */
  static constexpr Duration kLostWait = std::chrono::seconds(5);
  /** Watches start when the daemon knows whether it reads for others. */
  static constexpr Duration kLongestJoinWait = std::chrono::milliseconds(1500);
  /** Calls that fail in a row before the store counts as lost. */
  static constexpr unsigned kLostAfter = 2;
  /** Gathers changes that follow each other into one call. */
  static constexpr Duration kWatchPause = std::chrono::milliseconds(30);
  /** For this long after the store's return a removal may be a lapse. */
  static constexpr Duration kAfterOutage = std::chrono::seconds(2);

  void Spawn(boost::asio::awaitable<void> aLoop)
  {
    boost::asio::co_spawn(context_, std::move(aLoop), boost::asio::detached);
  }

  boost::asio::awaitable<void> Sleep(Duration aTime)
  {
    boost::asio::steady_timer timer(context_, aTime);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  /** Takes the outcome of a call; logs when the store is lost or regained. */
  void Note(std::string_view aCall, bool aIsAnswered, std::string_view aReason)
  {
    metrics_.CountStoreCall(aCall, aIsAnswered);
    const Time now = ReadMonotonicTime();
    if (aIsAnswered) {
      failures_ = 0;
      if (isLost_) {
        isLost_ = false;
        regainedAt_ = now;
        state_.SetStoreReachable(true);
        log_.Write(Decision::DependencyRegained,
                   { { "dependency", "store" },
                     { "call", aCall },
                     { "lost_for_s", ToSeconds(now - lostAt_) } });
        regained_.Notify();
      }
      return;
    }
    if (++failures_ >= kLostAfter && !isLost_) {
      isLost_ = true;
      lostAt_ = now;
      state_.SetStoreReachable(false);
      log_.Write(Decision::DependencyLost,
                 { { "dependency", "store" },
                   { "call", aCall },
                   { "reason", aReason } });
    }
  }

  bool IsAfterOutage() const
  {
    return isLost_ || ReadMonotonicTime() - regainedAt_ < kAfterOutage;
  }

  /** Whether the store answers decides what daemons do while engines leave
   * unannounced, so that the first failure is checked at once. */
  static constexpr Duration kCheckPause = std::chrono::milliseconds(50);

  Duration FindPause(unsigned aFailures, Duration aLongest)
  {
    return random_.Jitter(std::min(kRetryPause * aFailures, aLongest), 0.5);
  }

  /** Pauses before the state is read anew: briefly if only the changes were
   * lost, longer after failed calls; while the store is lost, until it is back.
   */
  boost::asio::awaitable<void> PauseAfter(unsigned aFailures)
  {
    if (aFailures == 0) {
      co_await Sleep(kWatchPause);
      co_return;
    }
    if (!isLost_) {
      co_await Sleep(FindPause(aFailures, kLongestRetryPause));
    }
    co_await AwaitReturn();
  }

  /** Waits while the store is lost. */
  boost::asio::awaitable<void> AwaitReturn()
  {
    const Time giveUp = ReadMonotonicTime() + kLostWait;
    while (isLost_ && ReadMonotonicTime() < giveUp) {
      co_await regained_.Wait(giveUp - ReadMonotonicTime());
    }
  }

  /** Waits until the daemon knows the others, only for a while after its start:
   * a store that takes no registrations must not delay changes. */
  boost::asio::awaitable<void> AwaitMembers()
  {
    while (!areMembersKnown_ && ReadMonotonicTime() < joinEnd_) {
      co_await membersKnown_.Wait(joinEnd_ - ReadMonotonicTime());
    }
  }

  boost::asio::awaitable<void> FollowTables()
  {
    unsigned failures = 0;
    std::uint64_t revision = 0;
    for (;;) {
      AsyncResult<TablesSnapshot> reading = TablesSnapshot();
      if (revision == 0) {
        reading = co_await source_.ReadTables();
      } else {
        reading = co_await source_.WatchTables(revision);
      }
      Note("watch_tables", IsAnswered(reading), FindReason(reading));
      if (!reading) {
        revision = 0;
        failures += IsAnswered(reading) ? 0 : 1;
        co_await PauseAfter(failures);
        continue;
      }
      failures = 0;
      const bool isMissing =
        revision == 0 && !reading->content_ && !state_.GetTables();
      revision = reading->revision_;
      state_.ApplyTables(std::move(reading->content_), ReadMonotonicTime());
      co_await Sleep(isMissing ? kNoTablesPause : kWatchPause);
      co_await AwaitMembers();
    }
  }

  boost::asio::awaitable<void> ConfirmTables()
  {
    unsigned failures = 0;
    for (;;) {
      const Time sentAt = ReadBootTime();
      AsyncResult<TablesSnapshot> reading = co_await source_.ReadTables();
      Note("read_tables", IsAnswered(reading), FindReason(reading));
      if (!reading) {
        const bool isFirst = ++failures == 1;
        co_await proofWanted_.Wait(
          isFirst ? kCheckPause : FindPause(failures, kLongestRetryPause));
        continue;
      }
      failures = 0;
      state_.ApplyTables(std::move(reading->content_), ReadMonotonicTime());
      state_.ConfirmTables(sentAt - reading->age_);
      proved_.Notify();
      co_await proofWanted_.Wait(kProofInterval);
    }
  }

  boost::asio::awaitable<void> FollowServers()
  {
    unsigned failures = 0;
    std::uint64_t revision = 0;
    for (;;) {
      const bool isListing = revision == 0;
      AsyncResult<ServersUpdate> reading = ServersUpdate();
      if (isListing) {
        reading = co_await source_.ListServers();
      } else {
        reading = co_await source_.WatchServers(revision);
      }
      const Time now = ReadMonotonicTime();
      Note("watch_servers", IsAnswered(reading), FindReason(reading));
      if (!reading) {
        revision = 0;
        failures += IsAnswered(reading) ? 0 : 1;
        co_await PauseAfter(failures);
        continue;
      }
      failures = 0;
      revision = reading->revision_;
      if (isListing) {
        state_.ApplyServerList(reading->servers_, IsAfterOutage(), now);
      } else {
        state_.ApplyServerEvents(reading->servers_, IsAfterOutage(), now);
      }
      co_await Sleep(kWatchPause);
      co_await AwaitMembers();
    }
  }

  boost::asio::awaitable<void> FollowMembers()
  {
    bool isRegistered = false;
    bool isFirst = true;
    unsigned failures = 0;
    for (;;) {
      AsyncResult<bool> kept = true;
      if (isRegistered) {
        kept = co_await source_.KeepAlive();
      } else {
        kept = co_await source_.Register(self_);
      }
      Note("register", IsAnswered(kept), FindReason(kept));
      if (!kept) {
        // A lease outlasts most outages, so only word of its end ends it.
        isRegistered =
          isRegistered && kept.error().code_ != ErrorCode::GenerationLost;
        co_await AwaitReturn();
        co_await Sleep(FindPause(++failures, kLongestMemberPause));
        continue;
      }
      isRegistered = true;
      failures = 0;
      if (isFirst) {
        co_await Sleep(kJoinTime);
      }
      AsyncResult<std::vector<MemberRecord>> members =
        co_await source_.ListMembers(!isFirst);
      Note("list_members", members.has_value(), FindReason(members));
      if (members) {
        onMembers_(*members);
        isFirst = false;
        areMembersKnown_ = true;
        membersKnown_.Notify();
      }
      const auto count = members ? members->size() : 0;
      co_await Sleep(random_.Jitter(
        kMemberInterval + kMemberIntervalPerDaemon * count, 0.2));
    }
  }

  /** @returns whether the source answered, be it that changes are lost. */
  template<typename Value>
  static bool IsAnswered(const AsyncResult<Value>& aResult)
  {
    return aResult.has_value() ||
           aResult.error().code_ == ErrorCode::GenerationLost;
  }

  template<typename Value>
  static std::string FindReason(const AsyncResult<Value>& aResult)
  {
    return aResult.has_error() ? aResult.error().message_ : std::string();
  }

  boost::asio::io_context& context_;
  Source& source_;
  ServingState& state_;
  DecisionLog& log_;
  ServingMetrics& metrics_;
  Random random_;
  Signal proofWanted_;
  Signal proved_;
  Signal regained_;
  Signal membersKnown_;
  bool areMembersKnown_ = false;
  Time joinEnd_;
  MemberRecord self_;
  MembersHandler onMembers_;
  unsigned failures_ = 0;
  bool isLost_ = false;
  Time lostAt_;
  Time regainedAt_ = Time(-std::chrono::hours(1));
};

} // namespace azurecross

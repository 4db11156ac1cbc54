#include "ServingFixture.h"

#include "azurecross_serving/state/StateSync.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/** A fake store that answers immediately and counts its calls. */
struct CountingStore
{
  asio::awaitable<AsyncResult<TablesSnapshot>> ReadTables()
  {
    ++reads_;
    if (isDown_) {
      co_return MakeError(ErrorCode::StoreUnavailable);
    }
    if (areTablesUnreadable_) {
      co_return MakeError(ErrorCode::InvalidTables);
    }
    TablesSnapshot result;
    if (hasMalformedTables_) {
      result.defect_ = "test";
      result.version_ = 2;
      result.revision_ = 6;
    } else if (hasTables_) {
      result.content_ = ServingFixture::MakeTables();
      if (hasCustomers_) {
        result.content_->customers_.emplace();
      }
      result.revision_ = 5;
    }
    co_return result;
  }
  asio::awaitable<AsyncResult<TablesSnapshot>> WatchTables(std::uint64_t)
  {
    co_return co_await Watch<TablesSnapshot>();
  }
  asio::awaitable<AsyncResult<ServersUpdate>> ListServers()
  {
    ++lists_;
    if (isDown_) {
      co_return MakeError(ErrorCode::StoreUnavailable);
    }
    ServersUpdate result;
    result.revision_ = 5;
    result.servers_ = servers_;
    result.isAfterRestore_ = isRestored_;
    co_return result;
  }
  asio::awaitable<AsyncResult<ServersUpdate>> WatchServers(std::uint64_t)
  {
    co_return co_await Watch<ServersUpdate>();
  }
  asio::awaitable<AsyncResult<bool>> Register(MemberRecord)
  {
    ++registrations_;
    co_return co_await RespondToMember();
  }
  asio::awaitable<AsyncResult<bool>> KeepAlive()
  {
    ++renewals_;
    co_return co_await RespondToMember();
  }
  asio::awaitable<AsyncResult<bool>> RecordCustomers()
  {
    ++records_;
    if (isDown_) {
      co_return MakeError(ErrorCode::StoreUnavailable);
    }
    areCustomersRecorded_ = true;
    co_return true;
  }
  asio::awaitable<AsyncResult<bool>> WereCustomersRecorded()
  {
    if (isRecordUnreadable_) {
      co_return MakeError(ErrorCode::StoreUnavailable);
    }
    co_return areCustomersRecorded_;
  }
  asio::awaitable<AsyncResult<std::vector<MemberRecord>>> ListMembers(bool)
  {
    std::vector<MemberRecord> members;
    members.resize(1);
    if (isHidden_ && registrations_ < 2) {
      members.front().peerAddress_ = { "127.0.0.9", 7200 };
    }
    co_return members;
  }
  AsyncResult<ServingTables::Content> ParseTables(const std::string&) const
  {
    return ServingFixture::MakeTables();
  }
  std::optional<ServerRecord> ParseServer(const std::string&,
                                          const std::string&) const
  {
    return std::nullopt;
  }

  /** Waits for a change; fails if the store is down or after a timeout. */
  template<typename Value>
  asio::awaitable<AsyncResult<Value>> Watch()
  {
    ++watches_;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (int step = 0;
         step < 1000 && !isDown_ && !hasChanges_ && !losesHistory_;
         ++step) {
      timer.expires_after(5ms);
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (losesHistory_) {
      co_return MakeError(ErrorCode::GenerationLost);
    }
    if (!hasChanges_) {
      co_return MakeError(ErrorCode::StoreUnavailable);
    }
    Value result;
    result.revision_ = 5;
    co_return result;
  }

  asio::awaitable<AsyncResult<bool>> RespondToMember()
  {
    if (isDown_ || rejectsMembers_) {
      co_return MakeError(ErrorCode::StoreUnavailable);
    }
    co_return true;
  }

  static Error MakeError(ErrorCode aCode)
  {
    return Error{ aCode, Verdict::NotRun, "test", {} };
  }

  bool isDown_ = false;
  bool hasTables_ = true;
  bool hasCustomers_ = false;
  bool areCustomersRecorded_ = false;
  bool isRecordUnreadable_ = false;
  int records_ = 0;
  bool hasMalformedTables_ = false;
  bool areTablesUnreadable_ = false;
  bool hasChanges_ = false;
  bool rejectsMembers_ = false;
  bool losesHistory_ = false;
  bool isRestored_ = false;
  /** Whether the record of the first registration is lost. */
  bool isHidden_ = false;
  std::vector<ServerEvent> servers_;
  int reads_ = 0;
  int lists_ = 0;
  int watches_ = 0;
  int registrations_ = 0;
  int renewals_ = 0;
};

/** Runs the synchronization with the fake store on this thread in real time. */
struct SyncFixture
{
  SyncFixture()
    : metrics_(registry_)
    , state_(settings_, log_, metrics_)
    , sync_(context_, store_, state_, log_, metrics_, 1)
  {
  }

  void Start()
  {
    sync_.Start({}, [](const std::vector<MemberRecord>&) {});
  }
  void RunFor(Duration aTime) { context_.run_for(aTime); }
  int CountCalls() const
  {
    return store_.reads_ + store_.lists_ + store_.watches_ +
           store_.registrations_ + store_.renewals_;
  }

  asio::io_context context_{ 1 };
  ServingSettings settings_;
  Metrics registry_;
  DecisionLog log_;
  ServingMetrics metrics_;
  CountingStore store_;
  ServingState state_;
  StateSync<CountingStore> sync_;
};

} // namespace

// Guards against reads without a delay before the operator has written any
// tables: each daemon of a fleet sent 58 reads in its first second.
BOOST_FIXTURE_TEST_CASE(MissingTablesAreReadWithADelay, SyncFixture)
{
  store_.hasTables_ = false;
  Start();
  RunFor(1s);
  // One task reads, every 750 ms; the bound allows twice that and its retries.
  BOOST_TEST(store_.reads_ >= 2);
  BOOST_TEST(store_.reads_ <= 6);
  store_.hasTables_ = true;
  RunFor(1s);
  BOOST_TEST((state_.GetTables() != nullptr));
}

// Guards against a daemon that opens a deployment with customers to everybody,
// because the first tables that it sees leave them out.
BOOST_FIXTURE_TEST_CASE(TablesWithoutRecordedCustomersAreRejected, SyncFixture)
{
  store_.isRecordUnreadable_ = true;
  store_.areCustomersRecorded_ = true;
  Start();
  RunFor(1500ms);
  BOOST_TEST((state_.GetTables() == nullptr));
  store_.isRecordUnreadable_ = false;
  RunFor(1500ms);
  BOOST_TEST((state_.GetTables() == nullptr));
  BOOST_TEST(!state_.IsServing(ReadBootTime()));
  BOOST_TEST(
    registry_.Serialize().find("azurecross_forward_rejected_tables_total 1") !=
    std::string::npos);
  store_.hasCustomers_ = true;
  RunFor(1500ms);
  BOOST_TEST(state_.IsServing(ReadBootTime()));
}

// Guards against customers of which a daemon that starts later knows nothing,
// and against a call of the store with each confirmation.
BOOST_FIXTURE_TEST_CASE(CustomersAreRecordedOnce, SyncFixture)
{
  store_.hasCustomers_ = true;
  Start();
  RunFor(3s);
  BOOST_TEST(store_.areCustomersRecorded_);
  BOOST_TEST(store_.records_ == 1);
}

// Guards against keys that stay valid under a newer version that can't be used,
// and against a store that counts as lost although it answers.
BOOST_FIXTURE_TEST_CASE(MalformedTablesConfirmNoKeys, SyncFixture)
{
  Start();
  RunFor(1s);
  BOOST_TEST(state_.GetKeyFreshness().IsFresh(ReadBootTime()));
  const auto confirmedAt = [this] {
    const Time now = ReadBootTime();
    return now - state_.GetKeyFreshness().GetAge(now).value();
  };
  store_.hasMalformedTables_ = true;
  RunFor(1s);
  const Time lastConfirmation = confirmedAt();
  RunFor(1s);
  store_.areTablesUnreadable_ = true;
  RunFor(2s);
  BOOST_TEST((confirmedAt() == lastConfirmation));
  BOOST_TEST(state_.IsStoreReachable());
  BOOST_TEST(state_.GetTables()->GetVersion() == 1U);
  BOOST_TEST(
    registry_.Serialize().find("azurecross_forward_rejected_tables_total 2") !=
    std::string::npos);
}

// Guards against an overload of a store that doesn't answer, by the calls of
// all daemons. Only the confirmation of the tables calls the store; the other
// calls resume once that call succeeds.
BOOST_FIXTURE_TEST_CASE(OnlyTheTablesConfirmationCallsALostStore, SyncFixture)
{
  Start();
  RunFor(1500ms);
  BOOST_TEST(state_.IsStoreReachable());
  store_.isDown_ = true;
  RunFor(1s);
  BOOST_TEST(!state_.IsStoreReachable());
  const int callsBefore = CountCalls();
  const int readsBefore = store_.reads_;
  RunFor(2s);
  // The delay between two reads is 250 to 750 ms.
  BOOST_TEST(store_.reads_ - readsBefore >= 2);
  BOOST_TEST(CountCalls() - callsBefore <= 9);
  store_.isDown_ = false;
  RunFor(1s);
  BOOST_TEST(state_.IsStoreReachable());
  BOOST_TEST(store_.lists_ >= 2);
}

// Guards against detecting the loss of the store only after a second. Engines
// that leave in that time are not queried and their generations are lost.
BOOST_FIXTURE_TEST_CASE(FirstFailureIsRetriedImmediately, SyncFixture)
{
  Start();
  RunFor(1s);
  store_.isDown_ = true;
  sync_.RequestTablesConfirmation();
  RunFor(150ms);
  BOOST_TEST(!state_.IsStoreReachable());
}

// Guards against delayed changes of servers while the store rejects the
// registrations of daemons.
BOOST_FIXTURE_TEST_CASE(ServersAreWatchedWithoutARegistration, SyncFixture)
{
  store_.rejectsMembers_ = true;
  Start();
  RunFor(1700ms);
  store_.hasChanges_ = true;
  const int watchesBefore = store_.watches_;
  RunFor(1s);
  BOOST_TEST(store_.watches_ - watchesBefore >= 10);
}

// A store whose watches return immediately must not keep the only thread of the
// daemon busy.
BOOST_FIXTURE_TEST_CASE(ImmediatelyReturningWatchesAreThrottled, SyncFixture)
{
  store_.hasChanges_ = true;
  Start();
  RunFor(1s);
  // Two tasks, each with at most one call every 30 ms.
  BOOST_TEST(store_.watches_ <= 70);
}

// Guards against a new lease and record after each short outage. The lease
// outlasts such an outage and ends only when the store reports its expiry.
BOOST_FIXTURE_TEST_CASE(LeaseIsKeptDuringAnOutage, SyncFixture)
{
  Start();
  RunFor(1s);
  store_.isDown_ = true;
  RunFor(3500ms);
  store_.isDown_ = false;
  RunFor(6s);
  BOOST_TEST(store_.registrations_ == 1);
  BOOST_TEST(store_.renewals_ >= 1);
}

// Guards against a daemon whose lease is renewed while its record is gone: no
// other daemon knows it any more.
BOOST_FIXTURE_TEST_CASE(DaemonWithoutRecordRegistersAgain, SyncFixture)
{
  store_.isHidden_ = true;
  Start();
  RunFor(16s);
  BOOST_TEST(store_.registrations_ == 2);
  BOOST_TEST(store_.renewals_ > 0);
}

// Guards against live servers that get no requests, because the backup of the
// store lacks them until they have registered again.
BOOST_FIXTURE_TEST_CASE(ServersMissingAfterARestoreAreKept, SyncFixture)
{
  ServerRecord record;
  record.id_ = BackendServerId("e1");
  record.pool_ = PoolName("engines");
  store_.servers_ = { { record.id_, record, "" } };
  Start();
  RunFor(300ms);
  BOOST_REQUIRE(state_.GetLoadTracker().Find(record.id_) != nullptr);
  store_.servers_.clear();
  store_.isRestored_ = true;
  store_.losesHistory_ = true;
  RunFor(300ms);
  BOOST_TEST(state_.GetLoadTracker().Find(record.id_) != nullptr);
  store_.isRestored_ = false;
  RunFor(300ms);
  BOOST_TEST(state_.GetLoadTracker().Find(record.id_) == nullptr);
}

} // namespace azurecross

#include "ServingFixture.h"

#include "azurecross_serving/state/StateSync.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/** A store of the test that counts its calls and answers at once. */
struct CountedStore
{
  asio::awaitable<AsyncResult<TablesSnapshot>> ReadTables()
  {
    ++reads_;
    if (isDown_) {
      co_return MakeError(ErrorCode::StoreUnavailable);
    }
    TablesSnapshot reading;
    if (hasTables_) {
      reading.content_ = ServingFixture::MakeTables();
      reading.revision_ = 5;
    }
    co_return reading;
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
    ServersUpdate reading;
    reading.revision_ = 5;
    co_return reading;
  }
  asio::awaitable<AsyncResult<ServersUpdate>> WatchServers(std::uint64_t)
  {
    co_return co_await Watch<ServersUpdate>();
  }
  asio::awaitable<AsyncResult<bool>> Register(MemberRecord)
  {
    ++registrations_;
    co_return co_await AnswerMember();
  }
  asio::awaitable<AsyncResult<bool>> KeepAlive()
  {
    ++renewals_;
    co_return co_await AnswerMember();
  }
  asio::awaitable<AsyncResult<std::vector<MemberRecord>>> ListMembers(bool)
  {
    std::vector<MemberRecord> members;
    members.resize(1);
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

  /** Waits for a change that does not come, or fails while down. */
  template<typename Reading>
  asio::awaitable<AsyncResult<Reading>> Watch()
  {
    ++watches_;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (int step = 0; step < 1000 && !isDown_ && !hasNews_; ++step) {
      timer.expires_after(5ms);
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (!hasNews_) {
      co_return MakeError(ErrorCode::StoreUnavailable);
    }
    Reading reading;
    reading.revision_ = 5;
    co_return reading;
  }

  asio::awaitable<AsyncResult<bool>> AnswerMember()
  {
    if (isDown_ || takesNoMembers_) {
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
  bool hasNews_ = false;
  bool takesNoMembers_ = false;
  int reads_ = 0;
  int lists_ = 0;
  int watches_ = 0;
  int registrations_ = 0;
  int renewals_ = 0;
};

/** Follows the store of the test for some real time on this thread. */
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
  CountedStore store_;
  ServingState state_;
  StateSync<CountedStore> sync_;
};

} // namespace

// Guards against reads without a pause while the operator has written no
// tables: each daemon of a fleet made 58 reads in its first second.
BOOST_FIXTURE_TEST_CASE(MissingTablesAreNotReadInALoop, SyncFixture)
{
  store_.hasTables_ = false;
  Start();
  RunFor(1s);
  // Two loops read, one each 500 ms and one each 750 ms.
  BOOST_TEST(store_.reads_ >= 2);
  BOOST_TEST(store_.reads_ <= 6);
  store_.hasTables_ = true;
  RunFor(1s);
  BOOST_TEST((state_.GetTables() != nullptr));
}

// Guards against all loops of all daemons pressing a store that does not
// answer: only the proof asks, and the others go on when it succeeds.
BOOST_FIXTURE_TEST_CASE(OnlyTheProofAsksALostStore, SyncFixture)
{
  Start();
  RunFor(1500ms);
  BOOST_TEST(state_.IsStoreReachable());
  store_.isDown_ = true;
  RunFor(1s);
  BOOST_TEST(!state_.IsStoreReachable());
  const int before = CountCalls();
  const int readsBefore = store_.reads_;
  RunFor(2s);
  // A pause of 250 to 750 ms between proofs.
  BOOST_TEST(store_.reads_ - readsBefore >= 2);
  BOOST_TEST(CountCalls() - before <= 9);
  store_.isDown_ = false;
  RunFor(1s);
  BOOST_TEST(state_.IsStoreReachable());
  BOOST_TEST(store_.lists_ >= 2);
}

// Guards against a second until the loss of the store is known: engines that
// leave meanwhile are not asked, and their generations are lost.
BOOST_FIXTURE_TEST_CASE(FirstFailureIsCheckedAtOnce, SyncFixture)
{
  Start();
  RunFor(1s);
  store_.isDown_ = true;
  sync_.Retry();
  RunFor(150ms);
  BOOST_TEST(!state_.IsStoreReachable());
}

// Guards against changes of servers that are delayed while the store takes no
// registrations.
BOOST_FIXTURE_TEST_CASE(ChangesAreFollowedWithoutARegistration, SyncFixture)
{
  store_.takesNoMembers_ = true;
  Start();
  RunFor(1700ms);
  store_.hasNews_ = true;
  const int before = store_.watches_;
  RunFor(1s);
  BOOST_TEST(store_.watches_ - before >= 10);
}

// Guards against a watch that answers at once and keeps the daemon's only
// thread busy: a store that does so must not stop it.
BOOST_FIXTURE_TEST_CASE(WatchesThatAnswerAtOnceArePaced, SyncFixture)
{
  store_.hasNews_ = true;
  Start();
  RunFor(1s);
  // Two loops, one call each 30 ms at most.
  BOOST_TEST(store_.watches_ <= 70);
}

// Guards against a new lease and record after each short outage: the lease
// outlasts it, and only word of its end ends it.
BOOST_FIXTURE_TEST_CASE(LeaseIsKeptThroughAnOutage, SyncFixture)
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

} // namespace azurecross

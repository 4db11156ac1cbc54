#include "ServingFixture.h"

#include "azurecross_serving/peers/ReaderSelector.h"
#include "azurecross_serving/peers/RelayedStateSource.h"
#include "azurecross_serving/peers/StateFeed.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>

namespace azurecross {

namespace {

namespace asio = boost::asio;

/** A fake store; the text of its tables is their version. */
struct FakeStore
{
  asio::awaitable<AsyncResult<TablesSnapshot>> ReadTables()
  {
    ++reads_;
    if (isDown_) {
      co_return MakeError();
    }
    TablesSnapshot result;
    result.content_ = ServingFixture::MakeTables(version_);
    result.text_ = std::to_string(version_);
    result.revision_ = version_;
    co_return result;
  }
  asio::awaitable<AsyncResult<TablesSnapshot>> WatchTables(std::uint64_t)
  {
    co_return MakeError();
  }
  asio::awaitable<AsyncResult<ServersUpdate>> ListServers()
  {
    ++reads_;
    if (isDown_) {
      co_return MakeError();
    }
    ServerRecord record;
    record.id_ = BackendServerId("e1");
    ServersUpdate result;
    result.servers_ = { { record.id_, record, "text" } };
    result.revision_ = 7;
    co_return result;
  }
  /** Doesn't return for five seconds, like a stalled connection. */
  asio::awaitable<AsyncResult<ServersUpdate>> WatchServers(std::uint64_t)
  {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(std::chrono::seconds(5));
    co_await timer.async_wait(asio::use_awaitable);
    co_return MakeError();
  }
  asio::awaitable<AsyncResult<bool>> Register(MemberRecord) { co_return true; }
  asio::awaitable<AsyncResult<bool>> KeepAlive() { co_return true; }
  asio::awaitable<AsyncResult<std::vector<MemberRecord>>> ListMembers(bool)
  {
    co_return std::vector<MemberRecord>();
  }
  AsyncResult<ServingTables::Content> ParseTables(
    const std::string& aText) const
  {
    return ServingFixture::MakeTables(std::stoull(aText));
  }
  std::optional<ServerRecord> ParseServer(const std::string& aId,
                                          const std::string&) const
  {
    ServerRecord record;
    record.id_ = BackendServerId(aId);
    return record;
  }

  static Error MakeError()
  {
    return Error{ ErrorCode::StoreUnavailable, Verdict::NotRun, "down", {} };
  }

  std::atomic<int> reads_ = 0;
  std::atomic<bool> isDown_ = false;
  std::uint64_t version_ = 1;
};

std::vector<MemberRecord>
MakeMembers(int aCount)
{
  std::vector<MemberRecord> members;
  members.reserve(static_cast<std::size_t>(aCount));
  for (int member = 0; member < aCount; ++member) {
    members.push_back({ { "127.0.0." + std::to_string(member + 1), 7200 },
                        AvailabilityZone("a") });
  }
  return members;
}

/** Two readers and one daemon that reads from them. */
struct FeedFixture
{
  struct Daemon
  {
    Daemon(asio::io_context& aContext, const std::string& aHost)
      : feed_(aContext, { aHost, 0 }, 1234567)
      , address_(FindAddress(aHost))
      , source_(aContext.get_executor(), store_, feed_, address_)
    {
    }

    SocketAddress FindAddress(const std::string& aHost) const
    {
      return { aHost, feed_.GetAddress().port_ };
    }

    FakeStore store_;
    StateFeed feed_;
    SocketAddress address_;
    RelayedStateSource<FakeStore> source_;
  };

  FeedFixture()
  {
    for (int index = 1; index <= 3; ++index) {
      daemons_.push_back(
        std::make_unique<Daemon>(context_, "127.0.0." + std::to_string(index)));
      members_.push_back({ daemons_.back()->address_, AvailabilityZone("a") });
    }
    for (const auto& daemon : daemons_) {
      daemon->feed_.Start();
      daemon->source_.SetMembers(members_);
      ReaderSelector selector(daemon->address_);
      selector.SetMembers(members_);
      (selector.IsReader() ? readers_ : nonReaders_).push_back(daemon.get());
    }
    thread_ = std::thread([this] { context_.run(); });
  }

  ~FeedFixture()
  {
    guard_.reset();
    context_.stop();
    thread_.join();
  }

  AsyncResult<TablesSnapshot> Read(Daemon& aDaemon)
  {
    return asio::co_spawn(
             context_, aDaemon.source_.ReadTables(), asio::use_future)
      .get();
  }
  AsyncResult<ServersUpdate> List(Daemon& aDaemon)
  {
    return asio::co_spawn(
             context_, aDaemon.source_.ListServers(), asio::use_future)
      .get();
  }

  asio::io_context context_{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> guard_{
    context_.get_executor()
  };
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::vector<MemberRecord> members_;
  std::vector<Daemon*> readers_;
  std::vector<Daemon*> nonReaders_;
  std::thread thread_;
};

} // namespace

// Guards against a load on the store that grows with the number of daemons.
BOOST_AUTO_TEST_CASE(FewDaemonsAreReaders)
{
  for (const auto& [daemonCount, readerCount] :
       std::map<int, int>{ { 1, 1 }, { 2, 2 }, { 7, 2 }, { 64, 4 } }) {
    const auto members = MakeMembers(daemonCount);
    int count = 0;
    for (const MemberRecord& member : members) {
      ReaderSelector selector(member.peerAddress_);
      selector.SetMembers(members);
      count += selector.IsReader() ? 1 : 0;
      BOOST_TEST(selector.IsReader() !=
                 selector.SelectReader(Time()).has_value());
    }
    BOOST_TEST(count == readerCount);
  }
}

// A failed reader is skipped for a while, and a daemon whose readers have all
// failed falls back to the store.
BOOST_AUTO_TEST_CASE(FailedReadersAreSkipped)
{
  const auto members = MakeMembers(7);
  for (const MemberRecord& member : members) {
    ReaderSelector selector(member.peerAddress_);
    selector.SetMembers(members);
    if (selector.IsReader()) {
      continue;
    }
    const Time now(std::chrono::seconds(100));
    const auto first = selector.SelectReader(now);
    selector.RecordFailure(*first, now);
    const auto second = selector.SelectReader(now);
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST((*second != *first));
    selector.RecordFailure(*second, now);
    BOOST_TEST(!selector.SelectReader(now).has_value());
    BOOST_TEST(
      selector.SelectReader(now + std::chrono::seconds(3)).has_value());
  }
}

// Guards against daemons that read from the store although they have a reader,
// and against a snapshot that appears newer than the reader's confirmation.
BOOST_FIXTURE_TEST_CASE(NonReaderReadsFromAReader, FeedFixture)
{
  BOOST_REQUIRE(readers_.size() == 2);
  for (Daemon* reader : readers_) {
    BOOST_TEST(Read(*reader).has_value());
    BOOST_TEST(List(*reader).has_value());
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  const auto result = Read(*nonReaders_[0]);
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST(result->content_->version_ == 1U);
  BOOST_TEST((result->age_ >= std::chrono::milliseconds(20)));
  const auto servers = List(*nonReaders_[0]);
  BOOST_REQUIRE(servers.has_value());
  BOOST_TEST(servers->servers_.size() == 1U);
  BOOST_TEST(nonReaders_[0]->store_.reads_ == 0);
}

// Guards against daemons that keep outdated state because the store rejects
// their readers. Such readers suspend their feeds, and the other daemons read
// from the store directly.
BOOST_FIXTURE_TEST_CASE(ReaderWithoutStoreAccessSuspendsItsFeed, FeedFixture)
{
  for (Daemon* reader : readers_) {
    BOOST_TEST(Read(*reader).has_value());
    reader->store_.isDown_ = true;
    BOOST_TEST(!Read(*reader).has_value());
  }
  const auto result = Read(*nonReaders_[0]);
  BOOST_TEST(result.has_value());
  BOOST_TEST(nonReaders_[0]->store_.reads_ == 1);
}

// Guards against a daemon without current state when the store rejects the
// daemon and its readers but still answers another daemon.
BOOST_FIXTURE_TEST_CASE(PeerWithStoreAccessReplacesReaders, FeedFixture)
{
  Daemon peer(context_, "127.0.0.9");
  peer.feed_.Start();
  BOOST_TEST(Read(peer).has_value());
  for (Daemon* daemon : { readers_[0], readers_[1], nonReaders_[0] }) {
    daemon->store_.isDown_ = true;
    BOOST_TEST(!Read(*daemon).has_value());
  }
  const int reads = nonReaders_[0]->store_.reads_;
  nonReaders_[0]->source_.RecordStoreAccess(peer.address_);
  BOOST_TEST(Read(*nonReaders_[0]).has_value());
  BOOST_TEST(nonReaders_[0]->store_.reads_ == reads);
}

// Guards against skipping a failed reader for the full delay after the reader
// has reported that the store answers it again.
BOOST_AUTO_TEST_CASE(RecoveredReaderIsSelectedImmediately)
{
  const auto members = MakeMembers(7);
  const Time now(std::chrono::seconds(100));
  for (const MemberRecord& member : members) {
    ReaderSelector selector(member.peerAddress_);
    selector.SetMembers(members);
    if (selector.IsReader()) {
      BOOST_TEST((selector.GetStoreRetryInterval() == Duration::zero()));
      continue;
    }
    BOOST_TEST((selector.GetStoreRetryInterval() > Duration::zero()));
    const auto reader = selector.SelectReader(now);
    selector.RecordFailure(*reader, now);
    BOOST_TEST((selector.SelectReader(now) != reader));
    selector.RecordStoreAccess(*reader, now);
    BOOST_TEST((selector.SelectReader(now) == reader));
  }
}

// Guards against a watch on a stalled connection that hides a leaving server:
// three daemons sent requests to a server 3.3 s after its leaving notice.
BOOST_FIXTURE_TEST_CASE(StalledWatchEndsWhenTheStoreFails, FeedFixture)
{
  Daemon& reader = *readers_[0];
  BOOST_TEST(List(reader).has_value());
  auto watch =
    asio::co_spawn(context_, reader.source_.WatchServers(7), asio::use_future);
  BOOST_TEST((watch.wait_for(std::chrono::milliseconds(300)) ==
              std::future_status::timeout));
  reader.store_.isDown_ = true;
  BOOST_TEST(!Read(reader).has_value());
  BOOST_REQUIRE(
    (watch.wait_for(std::chrono::seconds(1)) == std::future_status::ready));
  BOOST_TEST((watch.get().error().code_ == ErrorCode::GenerationLost));
}

// Guards against malformed responses of other daemons.
BOOST_AUTO_TEST_CASE(FeedResponsesAreValidated)
{
  for (const char* text : { "", "{}", "{\"version\":1}", "[1]" }) {
    BOOST_TEST(!ParseTablesFeedResponse(text).has_value());
    BOOST_TEST(!ParseServersFeedResponse(text).has_value());
  }
  const auto tables = ParseTablesFeedResponse(
    FormatTablesFeedResponse({ 3, std::chrono::microseconds(70), "t" }));
  BOOST_REQUIRE(tables.has_value());
  BOOST_TEST(tables->version_ == 3U);
  BOOST_TEST((tables->age_ == std::chrono::microseconds(70)));
}

} // namespace azurecross

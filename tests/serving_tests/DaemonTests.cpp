#include "ServingFixture.h"

#include "azurecross_serving/daemon/ServingDaemon.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <csignal>

namespace azurecross {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/** A fake store with one engine whose state doesn't change. */
struct UnchangingStore
{
  asio::awaitable<AsyncResult<TablesSnapshot>> ReadTables()
  {
    TablesSnapshot result;
    result.content_ = ServingFixture::MakeTables();
    result.revision_ = 5;
    co_return result;
  }
  asio::awaitable<AsyncResult<TablesSnapshot>> WatchTables(std::uint64_t)
  {
    co_await WaitForever();
    co_return TablesSnapshot();
  }
  asio::awaitable<AsyncResult<ServersUpdate>> ListServers()
  {
    ServersUpdate result;
    result.revision_ = 5;
    ServerEvent event;
    event.id_ = engine_.id_;
    event.record_ = engine_;
    result.servers_.push_back(event);
    co_return result;
  }
  asio::awaitable<AsyncResult<ServersUpdate>> WatchServers(std::uint64_t)
  {
    co_await WaitForever();
    co_return ServersUpdate();
  }
  asio::awaitable<AsyncResult<bool>> Register(MemberRecord aMember)
  {
    members_ = { aMember };
    co_return true;
  }
  asio::awaitable<AsyncResult<bool>> KeepAlive() { co_return true; }
  asio::awaitable<AsyncResult<std::vector<MemberRecord>>> ListMembers(bool)
  {
    co_return members_;
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

  static asio::awaitable<void> WaitForever()
  {
    asio::steady_timer timer(co_await asio::this_coro::executor, 1h);
    co_await timer.async_wait(asio::use_awaitable);
  }

  ServerRecord engine_;
  std::vector<MemberRecord> members_;
};

ServingSettings
MakeSettings()
{
  ServingSettings settings;
  settings.entryId_ = "entry";
  settings.zone_ = AvailabilityZone("a");
  for (SocketAddress* address : { &settings.listen_,
                                  &settings.readinessListen_,
                                  &settings.metricsListen_,
                                  &settings.peerListen_ }) {
    *address = { "127.0.0.1", 0 };
  }
  // Less than the margin for the last writes, so that the daemon cuts its
  // requests at once.
  settings.shutdownGracePeriod_ = 100ms;
  return settings;
}

/** Repeats a request until its stream has begun.
 * @returns the connection of the stream. */
std::unique_ptr<TestCaller>
StartStream(const SocketAddress& aDaemon)
{
  for (int attempts = 0; attempts < 100; ++attempts) {
    auto caller = std::make_unique<TestCaller>(aDaemon);
    caller->Send(ServingFixture::MakeRequest("/stream/x"));
    if (caller->ReadUntil("\r\n\r\n").find(" 200 ") != std::string::npos) {
      caller->ReadUntil("data: a");
      return caller;
    }
    std::this_thread::sleep_for(50ms);
  }
  return nullptr;
}

} // namespace

// Guards against coroutines of cut requests that outlive the daemon and use it
// when the context is destroyed.
BOOST_AUTO_TEST_CASE(DaemonMayBeDestroyedWithARequestInProgress)
{
  FakeBackendServer engine([](FakeConnection& aConnection) {
    if (!aConnection.ReadRequest().empty()) {
      aConnection.StartStream();
      aConnection.SendChunk("id: 1\ndata: a\n\n");
      aConnection.WaitForClose();
    }
  });
  UnchangingStore store;
  store.engine_.id_ = BackendServerId("e1");
  store.engine_.pool_ = PoolName("engines");
  store.engine_.address_ = engine.GetAddress();
  store.engine_.zone_ = AvailabilityZone("a");
  store.engine_.slots_ = 4;
  const TestWireProtocol wire;
  DaemonContext context;
  auto daemon = std::make_unique<ServingDaemon<UnchangingStore>>(
    context, MakeSettings(), wire, store, [] {
      return std::optional<ServingSettings>();
    });
  const SocketAddress address = daemon->GetFrontServer().GetAddress();
  std::unique_ptr<TestCaller> caller;
  std::thread thread([&] {
    caller = StartStream(address);
    kill(getpid(), SIGTERM);
  });
  daemon->Run();
  const std::size_t requestsCut =
    daemon->GetFrontServer().CountActiveRequests();
  daemon.reset();
  thread.join();
  BOOST_TEST(requestsCut == 1U);
}

} // namespace azurecross

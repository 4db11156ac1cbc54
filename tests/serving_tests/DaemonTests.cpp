#include "UnchangingStore.h"

#include "azurecross_serving/daemon/ServingDaemon.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <atomic>
#include <csignal>

namespace azurecross {

namespace {

using namespace std::chrono_literals;

/** A fake store whose tables raise the idle limit once it is told to. Reading
 * the new tables takes longer than the old limit, as large ones do on a daemon
 * with little processor time. */
struct RaisingStore : UnchangingStore
{
  static constexpr Duration kIdleLimit = 1s;
  static constexpr Duration kRaisedIdleLimit = 10s;

  boost::asio::awaitable<AsyncResult<TablesSnapshot>> ReadTables()
  {
    TablesSnapshot result;
    result.content_ = ServingFixture::MakeTables(version_);
    result.content_->limits_.idleTimeout_ = kIdleLimit;
    result.revision_ = 5;
    if (isRaised_) {
      std::this_thread::sleep_for(version_ == 1 ? kIdleLimit : 0s);
      version_ = 2;
      result.content_->version_ = version_;
      result.content_->limits_.idleTimeout_ = kRaisedIdleLimit;
    }
    co_return result;
  }

  std::uint64_t version_ = 1;
  std::atomic<bool> isRaised_ = false;
};

/** Repeats a request without a route until the daemon knows its tables.
 * @returns the connection of the last one. */
std::unique_ptr<TestCaller>
AwaitTables(const SocketAddress& aDaemon)
{
  for (int attempts = 0; attempts < 100; ++attempts) {
    auto caller = std::make_unique<TestCaller>(aDaemon);
    caller->Send(ServingFixture::MakeRequest("/nowhere/x"));
    if (caller->ReadAnswer().status_ == 404U) {
      return caller;
    }
    std::this_thread::sleep_for(50ms);
  }
  return nullptr;
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
  store.AddServer("e1", "engines", engine);
  const TestWireProtocol wire;
  DaemonContext context;
  // Less than the margin for the last writes, so that the daemon cuts its
  // requests at once.
  auto daemon = std::make_unique<ServingDaemon<UnchangingStore>>(
    context, MakeDaemonSettings(100ms), wire, store, [] {
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

// Guards against a daemon that closes at the old idle limit after it has read
// tables with a higher one.
BOOST_AUTO_TEST_CASE(RaisedIdleLimitAppliesBeforeTheNextDeadline)
{
  RaisingStore store;
  const TestWireProtocol wire;
  DaemonContext context;
  ServingDaemon<RaisingStore> daemon(
    context, MakeDaemonSettings(100ms), wire, store, [] {
      return std::optional<ServingSettings>();
    });
  const SocketAddress address = daemon.GetFrontServer().GetAddress();
  unsigned status = 0;
  std::thread thread([&] {
    const auto caller = AwaitTables(address);
    // The next tick applies the first limit to the waits that begin after it.
    std::this_thread::sleep_for(100ms);
    for (const Duration wait : { Duration(0s), 2 * RaisingStore::kIdleLimit }) {
      std::this_thread::sleep_for(wait);
      if (caller) {
        caller->Send(ServingFixture::MakeRequest("/nowhere/x"));
        status = caller->ReadAnswer().status_;
        store.isRaised_ = true;
      }
    }
    kill(getpid(), SIGTERM);
  });
  daemon.Run();
  thread.join();
  BOOST_TEST(status != 0U);
}

} // namespace azurecross

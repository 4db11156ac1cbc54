#include "ServingFixture.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <string>

namespace azurecross {

namespace {

using namespace std::chrono_literals;

/** @returns a server that counts requests and answers with these headers. */
FakeBackendServer::Script
MakeServer(std::atomic<int>& aRequests,
           const std::string& aStatus,
           const std::string& aHeaders)
{
  const std::string head = "HTTP/1.1 " + aStatus + "\r\n" + aHeaders +
                           "Content-Length: 0\r\nX-Request-Id: ";
  return [&aRequests, head](FakeConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      ++aRequests;
      aConnection.Send(head + aConnection.FindHeader("X-Request-Id") +
                       "\r\n\r\n");
    }
  };
}

} // namespace

// Guards against requests to a server that has stated that it leaves, while the
// store is silent and while its registration still says that it is ready.
BOOST_FIXTURE_TEST_CASE(LeavingServerGetsNoFurtherRequests, ServingFixture)
{
  for (const bool isStoreReachable : { true, false }) {
    const std::string name = isStoreReachable ? "reachable" : "silent";
    std::atomic<int> leavingRequests = 0;
    std::atomic<int> otherRequests = 0;
    FakeBackendServer leaving(
      MakeServer(leavingRequests, "200 OK", "X-Leaving: 1\r\n"));
    SetTables(MakeTables());
    Run([&] { GetState().SetStoreReachable(isStoreReachable); });
    AddServer("leaving " + name, "desk", leaving);
    BOOST_TEST(Call(MakeRequest("/safe/x")).status_ == 200U);
    BOOST_TEST(leavingRequests == 1);
    FakeBackendServer other(MakeServer(otherRequests, "200 OK", ""));
    AddServer("other " + name, "desk", other);
    AddServer("leaving " + name, "desk", leaving);
    for (int call = 0; call < 10; ++call) {
      BOOST_TEST(Call(MakeRequest("/safe/x")).status_ == 200U);
    }
    BOOST_TEST(leavingRequests == 1);
    BOOST_TEST(otherRequests == 10);
    SetDraining("other " + name, "desk", other);
  }
}

// Guards against requests to a busy server before the end of the time that it
// has named in a rejection.
BOOST_FIXTURE_TEST_CASE(PausedServerGetsNothingForThatTime, ServingFixture)
{
  std::atomic<int> busyRequests = 0;
  std::atomic<int> otherRequests = 0;
  FakeBackendServer busy(MakeServer(busyRequests,
                                    "503 Service Unavailable",
                                    "X-Not-Run: 1\r\nX-Pause-Ms: 600\r\n"));
  FakeBackendServer other(MakeServer(otherRequests, "200 OK", ""));
  SetTables(MakeTables());
  AddServer("busy", "desk", busy);
  const CallerAnswer refused =
    Call(MakeRequest("/safe/x", "X-Time-Ms: 300\r\n"));
  BOOST_TEST(refused.FindHeader("X-Azurecross-Verdict") == "not_run");
  BOOST_TEST(busyRequests == 1);
  // Refused at once, since the pause outlasts the caller.
  const Time start = ReadMonotonicTime();
  BOOST_TEST(Call(MakeRequest("/safe/x", "X-Time-Ms: 300\r\n"))
               .FindHeader("X-Azurecross-Verdict") == "not_run");
  BOOST_TEST(ToSeconds(ReadMonotonicTime() - start) < 0.1);
  AddServer("other", "desk", other);
  for (int call = 0; call < 10; ++call) {
    BOOST_TEST(Call(MakeRequest("/safe/x")).status_ == 200U);
  }
  BOOST_TEST(busyRequests == 1);
  std::this_thread::sleep_for(700ms);
  SetDraining("other", "desk", other);
  Call(MakeRequest("/safe/x", "X-Time-Ms: 300\r\n"));
  BOOST_TEST(busyRequests == 2);
}

} // namespace azurecross

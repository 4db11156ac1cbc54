#include "ServingFixture.h"

#include <boost/test/unit_test.hpp>

#include <thread>

namespace azurecross {

namespace {

using namespace std::chrono_literals;

/** Well above the fixture's tick of 10 ms. */
constexpr Duration kShortIdleLimit = 200ms;
constexpr Duration kLongIdleLimit = 3s;
/** Long enough for a connection to be accepted and to wait. */
constexpr Duration kSettleTime = 50ms;

/** @returns a request that is answered without a backend server. */
std::string
MakeUnroutedRequest()
{
  return ServingFixture::MakeRequest("/nowhere/x");
}

} // namespace

// A raised idle limit must apply to connections that already wait: they were
// closed at the old limit, under the requests of callers that use the new one.
BOOST_FIXTURE_TEST_CASE(RaisedIdleLimitReachesWaitingConnection, ServingFixture)
{
  SetTables(MakeTables());
  Run([this] { GetServices().limits_.idleTimeout_ = kShortIdleLimit; });
  TestCaller caller = Connect();
  caller.Send(MakeUnroutedRequest());
  BOOST_TEST(caller.ReadAnswer().status_ == 404U);
  Run([this] { GetServices().limits_.idleTimeout_ = kLongIdleLimit; });
  std::this_thread::sleep_for(2 * kShortIdleLimit);
  caller.Send(MakeUnroutedRequest());
  BOOST_TEST(caller.ReadAnswer().status_ == 404U);
}

// A wait that outlasts its old limit must end at the raised one.
BOOST_FIXTURE_TEST_CASE(ConnectionClosesAtRaisedIdleLimit, ServingFixture)
{
  SetTables(MakeTables());
  Run([this] { GetServices().limits_.idleTimeout_ = kShortIdleLimit; });
  TestCaller caller = Connect();
  std::this_thread::sleep_for(kSettleTime);
  Run([this] { GetServices().limits_.idleTimeout_ = 3 * kShortIdleLimit; });
  BOOST_TEST(!caller.WaitForClose(2 * kShortIdleLimit - kSettleTime));
  BOOST_TEST(caller.WaitForClose());
}

// A request that arrived before the end of the idle wait was dropped.
BOOST_FIXTURE_TEST_CASE(RequestAtIdleLimitIsAnswered, ServingFixture)
{
  SetTables(MakeTables());
  Run([this] { GetServices().limits_.idleTimeout_ = kShortIdleLimit; });
  TestCaller caller = Connect();
  std::this_thread::sleep_for(kSettleTime);
  Run([&] {
    // The deadline is checked before the reactor reports the request.
    caller.Send(MakeUnroutedRequest());
    std::this_thread::sleep_for(kShortIdleLimit);
    GetServices().deadlines_.Tick(ReadMonotonicTime());
  });
  BOOST_TEST(caller.ReadAnswer().status_ == 404U);
}

// A request that is discarded after the close must be visible to operators: it
// could not be told from a connection that closed without one.
BOOST_FIXTURE_TEST_CASE(DiscardedRequestIsCounted, ServingFixture)
{
  SetTables(MakeTables());
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/nowhere/x", "Connection: close\r\n"));
  BOOST_TEST(caller.ReadAnswer().status_ == 404U);
  std::this_thread::sleep_for(kSettleTime);
  caller.Send(MakeUnroutedRequest());
  BOOST_TEST(WaitForClose("after_response", "whole_head"));
}

// A connection that the daemon closes at its idle limit must be counted, as one
// without a request.
BOOST_FIXTURE_TEST_CASE(IdleCloseIsCountedWithoutRequest, ServingFixture)
{
  SetTables(MakeTables());
  Run([this] { GetServices().limits_.idleTimeout_ = kShortIdleLimit; });
  TestCaller caller = Connect();
  BOOST_TEST(caller.WaitForClose());
  caller.Close();
  BOOST_TEST(WaitForClose("idle_limit", "none"));
}

// Connections above the limit were dropped without a trace.
BOOST_FIXTURE_TEST_CASE(RefusedConnectionIsCounted, ServingFixture)
{
  Run([this] { GetServices().limits_.connectionLimit_ = 0; });
  TestCaller caller = Connect();
  BOOST_TEST(caller.WaitForClose());
  BOOST_TEST(WaitForClose("connection_limit", "none"));
}

// Bytes that a caller sends ahead must not end the daemon when the limit of a
// header is small.
BOOST_FIXTURE_TEST_CASE(BytesSentAheadStayWithinTheBuffer, ServingFixture)
{
  FakeBackendServer server([](FakeConnection& aConnection) {
    if (!aConnection.ReadRequest().empty()) {
      aConnection.WaitForClose();
    }
  });
  SetTables(MakeTables());
  AddServer("e1", "engines", server);
  Run([this] { GetServices().limits_.headerLimitBytes_ = 1024; });
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  std::this_thread::sleep_for(kSettleTime);
  caller.Send(std::string(std::size_t{ 63 } * 1024, 'x'));
  std::this_thread::sleep_for(kSettleTime);
  BOOST_TEST(Call(MakeUnroutedRequest()).status_ == 404U);
}

} // namespace azurecross

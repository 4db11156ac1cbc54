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

} // namespace azurecross

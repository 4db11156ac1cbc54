#include "GatewayFixture.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

namespace {

const std::string kKeyedBooking =
  MakePost("/bookings", "{}", "Idempotency-Key: k1\r\n");

} // namespace

// Guards against a repeat that runs a second time.
BOOST_FIXTURE_TEST_CASE(RepeatIsReplayed, GatewayFixture)
{
  FakeBackendServer desk([](FakeConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Answer(201, "{\"slot\":1}");
  });
  controller_.AddBackendServer("a", desk.GetAddress());
  for (int repeat = 0; repeat < 3; ++repeat) {
    const CallerAnswer answer = Call(kKeyedBooking);
    BOOST_TEST(answer.status_ == 201U);
    BOOST_TEST(answer.body_ == "{\"slot\":1}");
  }
  BOOST_TEST(desk.CountConnections() == 1);
  BOOST_TEST(controller_.WaitForReleases());
}

// Guards against a repeat that runs although the first may have run.
BOOST_FIXTURE_TEST_CASE(UnknownOutcomeIsRecorded, GatewayFixture)
{
  FakeBackendServer desk([](FakeConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Abort();
  });
  controller_.AddBackendServer("a", desk.GetAddress());
  BOOST_TEST(Call(kKeyedBooking).status_ == 502U);
  const CallerAnswer repeat = Call(kKeyedBooking);
  BOOST_TEST(repeat.status_ == 409U);
  BOOST_TEST(repeat.FindHeader("X-Azurecross-Verdict") == "may_have_run");
  BOOST_TEST(desk.CountConnections() == 1);
}

// Guards against a key used up by a request that did not run.
BOOST_FIXTURE_TEST_CASE(KeyOutlivesRequestThatDidNotRun, GatewayFixture)
{
  BOOST_TEST(Call(kKeyedBooking).status_ == 503U);
  BOOST_CHECK(controller_.GetAnswers().at("k1").verdict_ == Verdict::NotRun);
}

// Guards against an answer that is not recorded because its caller left.
BOOST_FIXTURE_TEST_CASE(OperationOutlivesItsCaller, GatewayFixture)
{
  std::atomic<bool> hasRequest = false;
  FakeBackendServer desk([&](FakeConnection& aConnection) {
    aConnection.ReadRequest();
    hasRequest = true;
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    aConnection.Answer(201, "{}");
  });
  controller_.AddBackendServer("a", desk.GetAddress());
  TestCaller caller = Connect();
  caller.Send(kKeyedBooking);
  while (!hasRequest) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  caller.Close();
  BOOST_TEST(controller_.WaitForReleases());
  const CallerAnswer repeat = Call(kKeyedBooking);
  BOOST_TEST(repeat.status_ == 201U);
  BOOST_TEST(repeat.FindHeader("X-Azurecross-Replayed") == "true");
}

} // namespace azurecross

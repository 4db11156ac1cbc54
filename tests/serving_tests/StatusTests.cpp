#include "ServingFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>

namespace azurecross {

namespace {

/** Statuses that no final answer has: three digits outside 200 to 599, and the
 * answer to an upgrade, which is never asked for. */
constexpr std::array kUndefinedStatuses{ "000", "001", "099",
                                         "101", "600", "999" };

/** A server whose answers have this status and are sound otherwise. */
class OddServer
{
public:
  explicit OddServer(std::string aStatus, std::string aHeaders = {})
    : status_(std::move(aStatus))
    , headers_(std::move(aHeaders))
    , server_([this](FakeConnection& aConnection) { Serve(aConnection); })
  {
  }

  const FakeBackendServer& GetServer() const { return server_; }
  int CountRequests() const { return requests_; }

private:
  void Serve(FakeConnection& aConnection)
  {
    while (!aConnection.ReadRequest().empty()) {
      ++requests_;
      aConnection.Send("HTTP/1.1 " + status_ + " Odd\r\nX-Request-Id: " +
                       aConnection.FindHeader("X-Request-Id") + "\r\n" +
                       headers_ + "Content-Length: 2\r\n\r\nno");
    }
  }

  std::string status_;
  std::string headers_;
  std::atomic<int> requests_ = 0;
  FakeBackendServer server_;
};

FakeBackendServer::Script
MakeSoundScript()
{
  return [](FakeConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      aConnection.Answer(200, "sound");
    }
  };
}

} // namespace

// A caller must not get an answer whose status HTTP doesn't define, and the
// request, which may have run, must not run again.
BOOST_DATA_TEST_CASE_F(ServingFixture,
                       UndefinedStatusIsNoAnswer,
                       boost::unit_test::data::make(kUndefinedStatuses),
                       aStatus)
{
  OddServer odd(aStatus);
  OddServer oddEngine(aStatus, "Content-Type: text/event-stream\r\n");
  SetTables(MakeTables());
  AddServer("s1", "desk", odd.GetServer());
  AddServer("e1", "engines", oddEngine.GetServer());
  for (const std::string path : { "/once/x", "/stream/x" }) {
    const CallerAnswer answer = Call(MakeRequest(path));
    BOOST_TEST(answer.status_ == 502U);
    BOOST_TEST(answer.FindHeader("X-Azurecross-Verdict") == "may_have_run");
    BOOST_TEST(answer.body_.find("undefined status") != std::string::npos);
  }
  BOOST_TEST(odd.CountRequests() == 1);
  BOOST_TEST(oddEngine.CountRequests() == 1);
}

// An idempotent call must go to another server, within the retry budget, and no
// connection with such an answer may carry another request.
BOOST_DATA_TEST_CASE_F(ServingFixture,
                       UndefinedStatusIsRetriedElsewhere,
                       boost::unit_test::data::make(kUndefinedStatuses),
                       aStatus)
{
  OddServer odd(aStatus);
  FakeBackendServer sound(MakeSoundScript());
  SetTables(MakeTables());
  AddServer("s1", "desk", odd.GetServer());
  constexpr int kRequests = 3;
  for (int request = 1; request <= kRequests; ++request) {
    BOOST_TEST(
      Call(MakeRequest("/once/x", {}, "a" + std::to_string(request))).status_ ==
      502U);
  }
  BOOST_TEST(odd.CountRequests() == kRequests);
  BOOST_TEST(odd.GetServer().CountConnections() == kRequests);
  AddServer("s2", "desk", sound);
  for (int request = 1; request <= kRequests; ++request) {
    const CallerAnswer answer =
      Call(MakeRequest("/safe/x", {}, "b" + std::to_string(request)));
    BOOST_TEST(answer.status_ == 200U);
    BOOST_TEST(answer.body_ == "sound");
  }
  BOOST_TEST(odd.CountRequests() == odd.GetServer().CountConnections());
}

// The statement that a request has not run must not be believed of such an
// answer: it is no answer.
BOOST_DATA_TEST_CASE_F(ServingFixture,
                       UndefinedStatusProvesNothing,
                       boost::unit_test::data::make(kUndefinedStatuses),
                       aStatus)
{
  OddServer odd(aStatus, "X-Not-Run: 1\r\n");
  FakeBackendServer sound(MakeSoundScript());
  SetTables(MakeTables());
  AddServer("s1", "desk", odd.GetServer());
  const CallerAnswer answer = Call(MakeRequest("/once/x"));
  BOOST_TEST(answer.status_ == 502U);
  BOOST_TEST(answer.FindHeader("X-Azurecross-Verdict") == "may_have_run");
}

// A connection that the server closed while it was idle must not be confused
// with one on which it sent bytes that are no answer: only the first is used
// again at once, without the retry budget.
BOOST_FIXTURE_TEST_CASE(MalformedAnswerIsNotSentAgainToItsServer,
                        ServingFixture)
{
  std::atomic<int> requests = 0;
  FakeBackendServer server([&](FakeConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      if (++requests == 1) {
        aConnection.Answer(200, "sound");
      } else {
        aConnection.Send("HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n");
      }
    }
  });
  SetTables(MakeTables());
  AddServer("s1", "desk", server);
  BOOST_TEST(Call(MakeRequest("/safe/x", {}, "r1")).status_ == 200U);
  BOOST_TEST(Call(MakeRequest("/safe/x", {}, "r2")).status_ == 502U);
  BOOST_TEST(requests == 2);
}

} // namespace azurecross

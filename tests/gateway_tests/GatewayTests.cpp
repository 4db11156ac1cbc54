#define BOOST_TEST_MODULE gateway_tests
#include <boost/test/unit_test.hpp>

#include "GatewayFixture.h"

namespace azurecross {

// Guards against lost, repeated or reordered tokens and wrong event ids.
BOOST_FIXTURE_TEST_CASE(StreamIsRelayedWithEventIds, GatewayFixture)
{
  FakeBackendServer engine(MakeEngineScript("g1", 3));
  controller_.AddBackendServer("e.1", engine.GetAddress());
  const CallerAnswer answer = Call(MakeStreamRequest("X-Request-Id: r-7\r\n"));
  BOOST_TEST(answer.status_ == 200U);
  BOOST_TEST(answer.isWhole_);
  BOOST_TEST(answer.FindHeader("X-Request-Id") == "r-7");
  BOOST_TEST(answer.body_ ==
             "id: e.1.g1.0\n"
             "data: {\"id\":\"g1\",\"choices\":[{\"text\":\"t0\"}]}\n\n"
             "id: e.1.g1.1\n"
             "data: {\"id\":\"g1\",\"choices\":[{\"text\":\"t1\"}]}\n\n"
             "id: e.1.g1.2\n"
             "data: {\"id\":\"g1\",\"choices\":[{\"text\":\"t2\"}]}\n\n"
             "data: [DONE]\n\n");
  BOOST_TEST(controller_.WaitForReleases());
  BOOST_TEST(controller_.GetRelease(1).outputTokens_ == 3U);
  BOOST_CHECK(controller_.GetRelease(1).result_ == ReleaseResult::Completed);
}

// Guards against a body, header or status of a service call that is changed,
// and against an answer that offers no key for the next operation.
BOOST_FIXTURE_TEST_CASE(ServiceCallIsPassedOn, GatewayFixture)
{
  std::string seen;
  FakeBackendServer desk([&](FakeConnection& aConnection) {
    seen = aConnection.ReadRequest();
    aConnection.Answer(201, "{\"slot\":4}");
  });
  controller_.AddBackendServer("d1", desk.GetAddress());
  const CallerAnswer answer =
    Call(MakePost("/bookings?day=2", "{\"booth\":1}", "X-Booth: b\r\n"));
  BOOST_TEST(answer.status_ == 201U);
  BOOST_TEST(answer.FindHeader("X-Azurecross-Operation-Key") == "key-1");
  BOOST_TEST(answer.body_ == "{\"slot\":4}");
  BOOST_TEST(seen.starts_with("POST /bookings?day=2 HTTP/1.1\r\n"));
  BOOST_TEST(seen.find("X-Booth: b\r\n") != std::string::npos);
  BOOST_TEST(seen.ends_with("{\"booth\":1}"));
  BOOST_TEST(controller_.WaitForReleases());
}

// Guards against a rank that engines do not see.
BOOST_FIXTURE_TEST_CASE(BodyCarriesPriority, GatewayFixture)
{
  std::string seen;
  FakeBackendServer engine([&](FakeConnection& aConnection) {
    seen = aConnection.ReadRequest();
    aConnection.Answer(200, "{\"id\":\"g\"}");
  });
  controller_.AddBackendServer("e1", engine.GetAddress());
  const std::string body = R"({"model":"m","prompt":"p","max_tokens":5})";
  const CallerAnswer answer = Call(
    MakePost("/v1/completions", body, "X-Azurecross-Customer: lesser\r\n"));
  BOOST_TEST(answer.body_ == "{\"id\":\"g\"}");
  BOOST_TEST(answer.FindHeader("X-Azurecross-Operation-Key").empty());
  BOOST_TEST(seen.find("\"priority\":10") != std::string::npos);
  BOOST_TEST(*controller_.GetRequest(0).outputLimit_ == 5U);
}

// Guards against generations that cost a customer nothing because their answer
// comes whole, and against a damaged answer that is refused for its usage.
BOOST_FIXTURE_TEST_CASE(WholeAnswerReportsItsTokens, GatewayFixture)
{
  const std::vector<std::pair<std::string, std::uint64_t>> answers = {
    { R"({"id":"g","usage":{"completion_tokens":50}})", 50 },
    { R"({"id":"g","usage":{"completion_tokens":-3}})", 0 },
    { R"({"id":"g","usage":7})", 0 },
    { "not JSON", 0 },
  };
  std::size_t next = 0;
  FakeBackendServer engine([&](FakeConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Answer(200, answers[next++].first);
  });
  controller_.AddBackendServer("e1", engine.GetAddress());
  for (std::size_t call = 0; call < answers.size(); ++call) {
    const CallerAnswer answer =
      Call(MakePost("/v1/completions", R"({"model":"m","prompt":"p"})", ""));
    BOOST_TEST(answer.body_ == answers[call].first);
    BOOST_TEST(controller_.WaitForReleases());
    BOOST_TEST(controller_.GetRelease(call + 1).outputTokens_ ==
               answers[call].second);
  }
}

// Guards against answers to pipelined requests that are mixed up or lost.
BOOST_FIXTURE_TEST_CASE(PipelinedRequestsAreAnsweredInOrder, GatewayFixture)
{
  FakeBackendServer desk([](FakeConnection& aConnection) {
    for (;;) {
      const std::string request = aConnection.ReadRequest();
      if (request.empty()) {
        return;
      }
      aConnection.Answer(200, request.substr(4, request.find(" HTTP") - 4));
    }
  });
  controller_.AddBackendServer("d1", desk.GetAddress());
  TestCaller caller = Connect();
  std::string requests;
  for (int number = 0; number < 20; ++number) {
    requests += "GET /bookings/" + std::to_string(number) +
                " HTTP/1.1\r\nHost: e\r\n\r\n";
  }
  caller.Send(requests);
  for (int number = 0; number < 20; ++number) {
    const CallerAnswer answer = caller.ReadAnswer();
    BOOST_TEST(answer.body_ == "/bookings/" + std::to_string(number));
  }
  BOOST_TEST(controller_.WaitForReleases());
}

// Guards against callers that cannot get an operation key.
BOOST_FIXTURE_TEST_CASE(OperationKeyIsIssued, GatewayFixture)
{
  const CallerAnswer answer = Call(MakePost("/v1/operation-keys", ""));
  BOOST_TEST(answer.status_ == 201U);
  BOOST_TEST(answer.body_ == "{\"key\":\"key-1\"}");
}

} // namespace azurecross

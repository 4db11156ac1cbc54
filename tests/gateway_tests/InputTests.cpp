#include "GatewayFixture.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

namespace {

/** Checks that an answer is a failure in the OpenAI shape. */
void
CheckRefusal(const CallerAnswer& aAnswer,
             unsigned aStatus,
             const std::string& aCode)
{
  BOOST_TEST(aAnswer.status_ == aStatus);
  BOOST_TEST(aAnswer.isWhole_);
  BOOST_TEST(aAnswer.FindHeader("X-Azurecross-Verdict") == "not_run");
  BOOST_TEST(aAnswer.FindHeader("Content-Type") == "application/json");
  BOOST_TEST(aAnswer.body_.find("\"code\":\"" + aCode + "\"") !=
             std::string::npos);
  BOOST_TEST(aAnswer.body_.find("\"verdict\":\"not_run\"") !=
             std::string::npos);
}

} // namespace

// Guards against malformed HTTP that goes unanswered or is passed on.
BOOST_FIXTURE_TEST_CASE(MalformedRequestIsRefused, GatewayFixture)
{
  CheckRefusal(Call("NOT HTTP\r\n\r\n"), 400, "invalid_request");
  CheckRefusal(
    Call("GET / HTTP/1.1\r\nbad header\r\n\r\n"), 400, "invalid_request");
  CheckRefusal(Call("POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n"),
               400,
               "invalid_request");
}

// Guards against request smuggling by two lengths.
BOOST_FIXTURE_TEST_CASE(TwoLengthsAreRefused, GatewayFixture)
{
  CheckRefusal(Call("POST /bookings HTTP/1.1\r\nContent-Length: 3\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
               400,
               "invalid_request");
  BOOST_TEST(controller_.CountAcquires() == 0U);
}

// Guards against request smuggling by a transfer coding that isn't decoded: the
// body would be taken for the next request.
BOOST_FIXTURE_TEST_CASE(UnknownTransferCodingsAreRefused, GatewayFixture)
{
  for (const std::string coding :
       { "identity", "xchunked", "gzip", "gzip, chunked", "chunked, gzip" }) {
    BOOST_TEST_CONTEXT(coding)
    {
      TestCaller caller = Connect();
      caller.Send(
        "POST /bookings HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: " + coding +
        "\r\n\r\nPOST /bookings HTTP/1.1\r\nHost: x\r\n"
        "Content-Length: 2\r\n\r\n{}");
      CheckRefusal(caller.ReadAnswer(), 400, "invalid_request");
      BOOST_TEST(caller.WaitForClose());
    }
  }
  BOOST_TEST(controller_.CountAcquires() == 0U);
}

// Guards against unbounded memory for headers and bodies.
BOOST_FIXTURE_TEST_CASE(OversizedRequestIsRefused, GatewayFixture)
{
  CheckRefusal(
    Call("GET / HTTP/1.1\r\nX: " + std::string(40000, 'x') + "\r\n\r\n"),
    431,
    "header_too_large");
  CheckRefusal(Call("POST / HTTP/1.1\r\nContent-Length: 900000000\r\n\r\nabc"),
               413,
               "body_too_large");
}

// Guards against bad bodies and names that reach a backend server.
BOOST_FIXTURE_TEST_CASE(BadBodyIsRefused, GatewayFixture)
{
  const std::string target = "/v1/completions";
  CheckRefusal(Call(MakePost(target, "{")), 400, "invalid_request");
  CheckRefusal(Call(MakePost(target, "[]")), 400, "invalid_request");
  CheckRefusal(Call(MakePost(target, "{}")), 400, "invalid_request");
  CheckRefusal(Call(MakePost(target, R"({"model":"m","stream":"x"})")),
               400,
               "invalid_request");
  CheckRefusal(
    Call(MakePost(target, R"({"model":"other"})")), 404, "model_not_found");
  CheckRefusal(Call("GET /nowhere HTTP/1.1\r\n\r\n"), 404, "route_not_found");
  CheckRefusal(
    Call("GET /v1/completions HTTP/1.1\r\n\r\n"), 400, "invalid_request");
  BOOST_TEST(controller_.CountAcquires() == 0U);
}

// Guards against connections held open by slow or silent callers.
BOOST_FIXTURE_TEST_CASE(SlowHeaderIsRefused, GatewayFixture)
{
  TestCaller caller = Connect();
  caller.Send("GET /bookings HT");
  CheckRefusal(caller.ReadAnswer(), 408, "request_timeout");
  BOOST_TEST(caller.WaitForClose());
  TestCaller body = Connect();
  body.Send("POST /bookings HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
  CheckRefusal(body.ReadAnswer(), 408, "request_timeout");
}

// Guards against refusals without a hint when to try again.
BOOST_FIXTURE_TEST_CASE(RefusalCarriesRetryAfter, GatewayFixture)
{
  Error error{ ErrorCode::QueueFull, Verdict::NotRun, "full", {} };
  error.retryAfter_ = std::chrono::milliseconds(2500);
  controller_.Refuse(error);
  const CallerAnswer answer = Call(MakeStreamRequest());
  CheckRefusal(answer, 429, "queue_full");
  BOOST_TEST(answer.FindHeader("Retry-After") == "3");
}

// Guards against a second request lost because the first was refused.
BOOST_FIXTURE_TEST_CASE(ConnectionOutlivesRefusal, GatewayFixture)
{
  TestCaller caller = Connect();
  caller.Send("GET /nowhere HTTP/1.1\r\n\r\nGET /nowhere HTTP/1.1\r\n\r\n");
  CheckRefusal(caller.ReadAnswer(), 404, "route_not_found");
  CheckRefusal(caller.ReadAnswer(), 404, "route_not_found");
}

// Guards against clients that wait for 100 Continue before the body.
BOOST_FIXTURE_TEST_CASE(ExpectedContinueIsSent, GatewayFixture)
{
  TestCaller caller = Connect();
  caller.Send("POST /nowhere HTTP/1.1\r\nExpect: 100-continue\r\n"
              "Content-Length: 2\r\n\r\n");
  const std::string interim = caller.ReadUntil("\r\n\r\n");
  BOOST_TEST(interim == "HTTP/1.1 100 Continue\r\n\r\n");
}

} // namespace azurecross

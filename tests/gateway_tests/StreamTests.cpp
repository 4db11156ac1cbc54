#include "GatewayFixture.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

namespace {

/** Serves one stream whose end the script decides. */
FakeBackendServer::Script
MakeStreamScript(std::function<void(FakeConnection&)> aBody)
{
  return [body = std::move(aBody)](FakeConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.StartStream();
    body(aConnection);
  };
}

/** Checks that a stream ends with an error event after its tokens. */
void
CheckErrorEvent(const CallerAnswer& aAnswer,
                int aTokens,
                const std::string& aCode)
{
  BOOST_TEST(aAnswer.status_ == 200U);
  BOOST_TEST(aAnswer.isWhole_);
  BOOST_TEST(aAnswer.Count("\nid: ") + 1 == aTokens);
  BOOST_TEST(aAnswer.Count("event: error\n") == 1);
  BOOST_TEST(aAnswer.Count("\"code\":\"" + aCode + "\"") == 1);
  BOOST_TEST(aAnswer.Count("\"verdict\":\"ran\"") == 1);
  BOOST_TEST(aAnswer.Count("[DONE]") == 0);
}

} // namespace

// Guards against a generation lost although no token was delivered.
BOOST_FIXTURE_TEST_CASE(EngineDeathBeforeFirstTokenIsRetried, GatewayFixture)
{
  FakeBackendServer dying(
    MakeStreamScript([](FakeConnection& aConnection) { aConnection.Abort(); }));
  FakeBackendServer engine(MakeEngineScript("g2", 2));
  controller_.AddBackendServer("a", dying.GetAddress());
  controller_.AddBackendServer("b", engine.GetAddress());
  const CallerAnswer answer = Call(MakeStreamRequest());
  BOOST_TEST(answer.status_ == 200U);
  BOOST_TEST(answer.Count("id: b.g2.") == 2);
  BOOST_TEST(answer.Count("[DONE]") == 1);
  BOOST_TEST(controller_.WaitForReleases());
  BOOST_CHECK(controller_.GetRelease(1).result_ ==
              ReleaseResult::BackendServerFailed);
}

// Guards against a second generation spliced in after a token.
BOOST_FIXTURE_TEST_CASE(EngineDeathAfterTokenEndsStream, GatewayFixture)
{
  FakeBackendServer dying(MakeStreamScript([](FakeConnection& aConnection) {
    aConnection.SendToken("g1", 0);
    aConnection.SendToken("g1", 1);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    aConnection.Abort();
  }));
  FakeBackendServer engine(MakeEngineScript("g2", 2));
  controller_.AddBackendServer("a", dying.GetAddress());
  controller_.AddBackendServer("b", engine.GetAddress());
  CheckErrorEvent(Call(MakeStreamRequest()), 2, "answer_truncated");
  BOOST_TEST(engine.CountConnections() == 0);
  BOOST_TEST(controller_.WaitForReleases());
}

// Guards against a truncated stream that ends like a whole one.
BOOST_FIXTURE_TEST_CASE(StreamWithoutDoneIsTruncated, GatewayFixture)
{
  FakeBackendServer engine(MakeStreamScript([](FakeConnection& aConnection) {
    aConnection.SendToken("g1", 0);
    aConnection.Send("0\r\n\r\n");
  }));
  controller_.AddBackendServer("a", engine.GetAddress());
  CheckErrorEvent(Call(MakeStreamRequest()), 1, "answer_truncated");
}

// Guards against tokens of another generation, repeated or missing ones.
BOOST_FIXTURE_TEST_CASE(WrongTokensEndStream, GatewayFixture)
{
  const std::vector<std::tuple<std::string, int, std::string>> cases = {
    { "g2", 1, "answer_mismatched" },
    { "g1", 0, "answer_mismatched" },
    { "g1", 2, "answer_truncated" }
  };
  for (const auto& [generation, offset, code] : cases) {
    FakeBackendServer engine(MakeStreamScript(
      [generation = generation, offset = offset](FakeConnection& aConnection) {
        aConnection.SendToken("g1", 0);
        aConnection.SendToken(generation, offset);
        BOOST_TEST(aConnection.WaitForClose());
      }));
    controller_.AddBackendServer("a", engine.GetAddress());
    CheckErrorEvent(Call(MakeStreamRequest()), 1, code);
  }
}

// Guards against an engine that goes on for a caller that has left.
BOOST_FIXTURE_TEST_CASE(CallerThatLeavesCancelsGeneration, GatewayFixture)
{
  std::atomic<bool> isClosed = false;
  FakeBackendServer engine(MakeStreamScript([&](FakeConnection& aConnection) {
    aConnection.SendToken("g1", 0);
    isClosed = aConnection.WaitForClose();
  }));
  controller_.AddBackendServer("a", engine.GetAddress());
  TestCaller caller = Connect();
  caller.Send(MakeStreamRequest());
  caller.ReadUntil("id: a.g1.0");
  caller.Close();
  BOOST_TEST(controller_.WaitForReleases());
  BOOST_CHECK(controller_.GetRelease(1).result_ == ReleaseResult::CallerLeft);
  for (int wait = 0; wait < 100 && !isClosed; ++wait) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  BOOST_TEST(isClosed);
}

// Guards against unbounded memory for a caller that stops reading, and
// against a stream beside it that stalls.
BOOST_FIXTURE_TEST_CASE(CallerThatStopsReadingIsDropped, GatewayFixture)
{
  std::atomic<int> sent = 0;
  FakeBackendServer flood(MakeStreamScript([&](FakeConnection& aConnection) {
    const std::string text(4000, 'x');
    const auto makeEvent = [&](int aOffset) {
      return "id: " + std::to_string(aOffset) +
             "\ndata: {\"id\":\"g1\",\"t\":\"" + text + "\"}\n\n";
    };
    while (aConnection.SendChunk(makeEvent(sent))) {
      ++sent;
    }
  }));
  controller_.AddBackendServer("a", flood.GetAddress());
  TestCaller caller = Connect();
  caller.Send(MakeStreamRequest());
  caller.ReadUntil("id: a.g1.0");
  BOOST_TEST(controller_.WaitForReleases());
  BOOST_CHECK(controller_.GetRelease(1).result_ == ReleaseResult::CallerLeft);
  // Socket buffers of both connections; the entry itself keeps 8 KB.
  BOOST_TEST(sent < 10000);
}

// Guards against an event over the limit that fills the memory.
BOOST_FIXTURE_TEST_CASE(HugeEventEndsStream, GatewayFixture)
{
  GatewayLimits limits = MakeLimits();
  limits.eventLimitBytes_ = 20000;
  Start(limits);
  FakeBackendServer engine(MakeStreamScript([](FakeConnection& aConnection) {
    aConnection.SendToken("g1", 0);
    while (aConnection.SendChunk(std::string(4000, 'x'))) {
    }
  }));
  controller_.AddBackendServer("a", engine.GetAddress());
  CheckErrorEvent(Call(MakeStreamRequest()), 1, "backend_server_failed");
}

// Guards against events lost when they arrive byte by byte.
BOOST_FIXTURE_TEST_CASE(StreamInSmallPiecesIsWhole, GatewayFixture)
{
  FakeBackendServer engine(MakeStreamScript([](FakeConnection& aConnection) {
    const std::string text = "id: 0\ndata: {\"id\":\"g1\"}\n\n"
                             "data: {\"id\":\"g1\"}\nid: 1\n\n: ping\n\n"
                             "data: [DONE]\n\n";
    for (const char character : text) {
      aConnection.SendChunk({ &character, 1 });
    }
    aConnection.Send("0\r\n\r\n");
  }));
  controller_.AddBackendServer("a", engine.GetAddress());
  const CallerAnswer answer = Call(MakeStreamRequest());
  BOOST_TEST(answer.body_ == "id: a.g1.0\ndata: {\"id\":\"g1\"}\n\n"
                             "id: a.g1.1\ndata: {\"id\":\"g1\"}\n\n"
                             ": ping\n\ndata: [DONE]\n\n");
}

// Guards against a resumed stream that repeats, loses or mixes tokens.
BOOST_FIXTURE_TEST_CASE(StreamIsResumedByLastEventId, GatewayFixture)
{
  std::string seen;
  FakeBackendServer engine([&](FakeConnection& aConnection) {
    seen = aConnection.ReadRequest();
    aConnection.StartStream();
    aConnection.SendToken("g1", 5);
    aConnection.SendToken("g1", 6);
    aConnection.FinishStream();
  });
  controller_.AddBackendServer("a", engine.GetAddress());
  const CallerAnswer answer =
    Call(MakeStreamRequest("Last-Event-ID: a.g1.4\r\n"));
  BOOST_TEST(seen.starts_with("GET /v1/generations/g1/events HTTP/1.1\r\n"));
  BOOST_TEST(seen.find("Last-Event-ID: 4\r\n") != std::string::npos);
  BOOST_TEST(answer.body_.starts_with("id: a.g1.5\n"));
  BOOST_TEST(answer.Count("id: a.g1.") == 2);
  BOOST_TEST(answer.Count("[DONE]") == 1);
  BOOST_TEST(controller_.CountAcquires() == 0U);
}

// Guards against a new generation for a caller that resumes an old one.
BOOST_FIXTURE_TEST_CASE(LostGenerationIsNotStartedAgain, GatewayFixture)
{
  FakeBackendServer engine([&](FakeConnection& aConnection) {
    aConnection.ReadRequest();
    aConnection.Answer(404, "{}");
  });
  controller_.AddBackendServer("a", engine.GetAddress());
  for (const char* id : { "a.g1.4", "gone.g1.4" }) {
    const CallerAnswer answer =
      Call(MakeStreamRequest("Last-Event-ID: " + std::string(id) + "\r\n"));
    BOOST_TEST(answer.status_ == 410U);
    BOOST_TEST(answer.Count("generation_lost") == 1);
    BOOST_TEST(answer.FindHeader("X-Azurecross-Verdict") == "may_have_run");
  }
  BOOST_TEST(Call(MakeStreamRequest("Last-Event-ID: x\r\n")).status_ == 400U);
  BOOST_TEST(controller_.CountAcquires() == 0U);
}

// Guards against a resumed stream from which tokens are missing.
BOOST_FIXTURE_TEST_CASE(ResumedStreamWithGapIsRefused, GatewayFixture)
{
  FakeBackendServer engine(MakeStreamScript([](FakeConnection& aConnection) {
    aConnection.SendToken("g1", 6);
    aConnection.FinishStream();
  }));
  controller_.AddBackendServer("a", engine.GetAddress());
  const CallerAnswer answer =
    Call(MakeStreamRequest("Last-Event-ID: a.g1.4\r\n"));
  BOOST_TEST(answer.status_ == 502U);
  BOOST_TEST(answer.FindHeader("X-Azurecross-Verdict") == "may_have_run");
}

} // namespace azurecross

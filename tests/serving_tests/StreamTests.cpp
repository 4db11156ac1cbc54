#include "ServingFixture.h"

#include "azurecross_serving/forward/EventBuffer.h"
#include "azurecross_serving/forward/StreamTiming.h"

#include <boost/test/unit_test.hpp>

#include <atomic>

namespace azurecross {

namespace {

/** Sends the head of an event stream that ends with its connection. */
void
StartUnframedStream(FakeConnection& aConnection)
{
  aConnection.Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                   "X-Request-Id: " +
                   aConnection.FindHeader("X-Request-Id") + "\r\n\r\n");
}

/** Sends these bytes as a stream that ends with its connection. */
FakeBackendServer::Script
MakeUnframedStream(std::string aBytes)
{
  return [bytes = std::move(aBytes)](FakeConnection& aConnection) {
    if (!aConnection.ReadRequest().empty()) {
      StartUnframedStream(aConnection);
      aConnection.Send(bytes);
    }
  };
}

} // namespace

// The bytes of a stream must not be changed, lost or held back.
BOOST_FIXTURE_TEST_CASE(StreamIsForwardedUnchanged, ServingFixture)
{
  FakeBackendServer server([](FakeConnection& aConnection) {
    if (aConnection.ReadRequest().empty()) {
      return;
    }
    aConnection.StartStream();
    aConnection.SendChunk("weights: 3\nid: 1\ndata: a\n\nid: 2\nda");
    aConnection.SendChunk("ta: b\n\n");
    aConnection.SendChunk("id: 3\ndata: c");
    aConnection.Send("0\r\n\r\n");
  });
  SetTables(MakeTables());
  AddServer("e1", "engines", server);
  const CallerAnswer response = Call(MakeRequest("/stream/x"));
  BOOST_TEST(response.status_ == 200U);
  BOOST_TEST(response.isWhole_);
  BOOST_TEST(response.body_ ==
             "weights: 3\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c");
}

// A broken stream must not look complete to the caller.
BOOST_FIXTURE_TEST_CASE(BrokenStreamIsNotTerminated, ServingFixture)
{
  FakeBackendServer server([](FakeConnection& aConnection) {
    if (!aConnection.ReadRequest().empty()) {
      aConnection.StartStream();
      aConnection.SendChunk("id: 1\ndata: a\n\n");
    }
  });
  SetTables(MakeTables());
  AddServer("e1", "engines", server);
  const CallerAnswer response = Call(MakeRequest("/stream/x"));
  BOOST_TEST(response.status_ == 200U);
  BOOST_TEST(!response.isWhole_);
}

// A stream that was cut off inside an event must not look complete.
BOOST_FIXTURE_TEST_CASE(UnframedStreamCutInsideEventIsNotTerminated,
                        ServingFixture)
{
  FakeBackendServer server(
    MakeUnframedStream("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"));
  SetTables(MakeTables());
  AddServer("e1", "engines", server);
  const CallerAnswer response = Call(MakeRequest("/stream/x"));
  BOOST_TEST(response.status_ == 200U);
  BOOST_TEST(!response.isWhole_);
  BOOST_TEST(response.body_ == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// A stream that was cut off must be counted like other failures.
BOOST_FIXTURE_TEST_CASE(BrokenStreamIsCountedAsFailure, ServingFixture)
{
  FakeBackendServer server(
    MakeUnframedStream("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"));
  SetTables(MakeTables());
  AddServer("e1", "engines", server);
  BOOST_TEST(!Call(MakeRequest("/stream/x")).isWhole_);
  const std::string metrics = FormatMetrics();
  BOOST_TEST(metrics.find("azurecross_forward_failures_total{reason=\"answer_"
                          "truncated\"} 1") != std::string::npos);
}

// A stream of which only a part of one event arrived must not be a success.
BOOST_FIXTURE_TEST_CASE(UnframedStreamWithoutWholeEventIsAnError,
                        ServingFixture)
{
  FakeBackendServer server(MakeUnframedStream("id: 1\nda"));
  SetTables(MakeTables());
  AddServer("e1", "engines", server);
  const CallerAnswer response = Call(MakeRequest("/stream/x"));
  BOOST_TEST(response.status_ == 502U);
  BOOST_TEST(response.FindHeader("X-Azurecross-Verdict") == "ran");
}

// A stream that broke off before its first event must not be an empty success.
BOOST_FIXTURE_TEST_CASE(UnframedStreamWithoutEventsIsAnError, ServingFixture)
{
  FakeBackendServer server(MakeUnframedStream(""));
  SetTables(MakeTables());
  AddServer("e1", "engines", server);
  const CallerAnswer response = Call(MakeRequest("/stream/x"));
  BOOST_TEST(response.status_ == 502U);
  BOOST_TEST(response.FindHeader("X-Azurecross-Verdict") == "ran");
}

// The last event of a stream must not be missed because no length was sent.
BOOST_FIXTURE_TEST_CASE(UnframedStreamThatEndsAfterAnEventIsComplete,
                        ServingFixture)
{
  FakeBackendServer server(
    MakeUnframedStream("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
  SetTables(MakeTables());
  AddServer("e1", "engines", server);
  const CallerAnswer response = Call(MakeRequest("/stream/x"));
  BOOST_TEST(response.status_ == 200U);
  BOOST_TEST(response.isWhole_);
  BOOST_TEST(response.body_ == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// A stream that is reset after a whole event must not look complete.
BOOST_FIXTURE_TEST_CASE(UnframedStreamThatIsResetIsNotTerminated,
                        ServingFixture)
{
  std::atomic<bool> isForwarded = false;
  FakeBackendServer server([&](FakeConnection& aConnection) {
    if (!aConnection.ReadRequest().empty()) {
      StartUnframedStream(aConnection);
      aConnection.Send("id: 1\ndata: a\n\n");
      for (int wait = 0; wait < 300 && !isForwarded; ++wait) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      }
      aConnection.Abort();
    }
  });
  SetTables(MakeTables());
  AddServer("e1", "engines", server);
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  caller.ReadUntil("data: a\n\n");
  isForwarded = true;
  const std::string bytes = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(bytes.find("0\r\n\r\n") == std::string::npos);
}

// Chunks tell the end of a stream, so a last event without an empty line must
// not turn a complete stream into a failure.
BOOST_FIXTURE_TEST_CASE(ChunkedStreamThatEndsInsideAnEventIsComplete,
                        ServingFixture)
{
  FakeBackendServer server([](FakeConnection& aConnection) {
    if (!aConnection.ReadRequest().empty()) {
      aConnection.StartStream();
      aConnection.SendChunk("id: 1\ndata: a\n\nid: 2\nda");
      aConnection.Send("0\r\n\r\n");
    }
  });
  SetTables(MakeTables());
  AddServer("e1", "engines", server);
  const CallerAnswer response = Call(MakeRequest("/stream/x"));
  BOOST_TEST(response.isWhole_);
  BOOST_TEST(response.body_ == "id: 1\ndata: a\n\nid: 2\nda");
}

// A generation must not be sent to a second engine after the first one may have
// run it.
BOOST_FIXTURE_TEST_CASE(GenerationIsNotRetried, ServingFixture)
{
  std::atomic<int> requests = 0;
  const auto dropConnection = [&](FakeConnection& aConnection) {
    if (!aConnection.ReadRequest().empty()) {
      ++requests;
    }
  };
  FakeBackendServer server(dropConnection);
  FakeBackendServer other(dropConnection);
  SetTables(MakeTables());
  AddServer("e1", "engines", server);
  AddServer("e2", "engines", other);
  BOOST_TEST(Call(MakeRequest("/stream/x")).status_ == 502U);
  BOOST_TEST(requests == 1);
}

// An engine must not keep generating after the caller disconnected.
BOOST_FIXTURE_TEST_CASE(CallerDisconnectCancelsTheGeneration, ServingFixture)
{
  std::atomic<bool> isClosed = false;
  FakeBackendServer server([&](FakeConnection& aConnection) {
    if (!aConnection.ReadRequest().empty()) {
      aConnection.StartStream();
      aConnection.SendChunk("id: 1\ndata: a\n\n");
      isClosed = aConnection.WaitForClose();
    }
  });
  SetTables(MakeTables());
  AddServer("e1", "engines", server);
  {
    TestCaller caller = Connect();
    caller.Send(MakeRequest("/stream/x"));
    caller.ReadUntil("data: a");
    caller.Close();
  }
  for (int wait = 0; wait < 100 && !isClosed; ++wait) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  BOOST_TEST(isClosed);
}

// Events must not be split, and an ID must not be taken from a partial event.
BOOST_AUTO_TEST_CASE(BufferKeepsPartialEvents)
{
  EventBuffer buffer;
  buffer.Append("id: 1\ndata: a\n\nid: 2\nda");
  BOOST_TEST(buffer.TakeCompleteEvents() == "id: 1\ndata: a\n\n");
  BOOST_TEST(buffer.GetLastId() == "1");
  BOOST_TEST(buffer.CountEvents() == 1U);
  BOOST_TEST(buffer.TakeCompleteEvents().empty());
  buffer.Append("ta: b\r\n\r\n");
  BOOST_TEST(buffer.TakeCompleteEvents() == "id: 2\ndata: b\r\n\r\n");
  BOOST_TEST(buffer.GetLastId() == "2");
  buffer.Append("id: 3\n");
  buffer.DiscardPartialEvent();
  BOOST_TEST(buffer.TakeRemainder().empty());
}

// Guards against a resumable stream that fails although its engine ended before
// the first event, and against one that is sent again after an event.
BOOST_FIXTURE_TEST_CASE(ResumableStreamIsSentAgainBeforeItsFirstEvent,
                        ServingFixture)
{
  std::atomic<int> breaks = 0;
  std::atomic<bool> sendsEvent = false;
  const FakeBackendServer::Script breakOnce = [&](FakeConnection& aConnection) {
    if (aConnection.ReadRequest().empty()) {
      return;
    }
    const bool isBroken = breaks++ == 0;
    if (!isBroken || sendsEvent) {
      aConnection.StartStream();
      aConnection.SendChunk("id: 1\ndata: a\n\n");
    }
    if (!isBroken) {
      aConnection.Send("0\r\n\r\n");
    }
  };
  FakeBackendServer first(breakOnce);
  FakeBackendServer second(breakOnce);
  for (const bool isResumable : { false, true }) {
    ServingTables::Content tables = MakeTables(isResumable ? 3 : 2);
    for (ServingRoute& route : tables.routes_) {
      route.isResumable_ = isResumable && route.kind_ == CallKind::Generation;
      route.attemptLimit_ = 2;
    }
    SetTables(std::move(tables));
    AddServer("e1", "engines", first);
    AddServer("e2", "engines", second);
    for (const bool hasEvent : { false, true }) {
      breaks = 0;
      sendsEvent = hasEvent;
      const CallerAnswer response = Call(MakeRequest("/stream/x"));
      BOOST_TEST_CONTEXT("resumable " << isResumable << ", event " << hasEvent)
      {
        const bool isServed = isResumable && !hasEvent;
        BOOST_TEST((response.status_ == 200U && response.isWhole_) == isServed);
        BOOST_TEST(breaks == (isServed ? 2 : 1));
      }
    }
  }
}

// Guards against a record that names the wrong cause of a late stream.
BOOST_AUTO_TEST_CASE(CauseOfALateStreamIsTold)
{
  const Time start(std::chrono::seconds(100));
  const auto at = [&](int aMilliseconds) {
    return start + std::chrono::milliseconds(aMilliseconds);
  };
  const Duration target = std::chrono::milliseconds(500);
  const Duration gap = std::chrono::milliseconds(180);
  StreamTiming timing;
  timing.RecordEvents(start, at(400), nullptr);
  timing.RecordEvents(start, at(500), nullptr);
  BOOST_TEST(!timing.FindCause(target, gap).has_value());
  BOOST_TEST(!timing.FindCause(Duration::zero(), Duration::zero()).has_value());
  ServerLoad engine;
  engine.record_.id_ = BackendServerId("e1");
  timing.RecordEvents(start, at(700), &engine);
  timing.RecordEvents(start, at(750), nullptr);
  BOOST_TEST((timing.FindCause(target, gap) == LateCause::Gap));
  BOOST_TEST((timing.GetEngineAtLongestGap().server_ == engine.record_.id_));
  BOOST_TEST((timing.FindCause(std::chrono::milliseconds(300), gap) ==
              LateCause::FirstEventAndGap));
  BOOST_TEST(
    (timing.FindCause(std::chrono::milliseconds(300),
                      std::chrono::seconds(1)) == LateCause::FirstEvent));
}

} // namespace azurecross

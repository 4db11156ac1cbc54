#include "ServingFixture.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

namespace azurecross {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view kFirstEvent = "id: 1\ndata: a\n\n";
/** Long enough for the daemon to read what a caller has sent. */
constexpr Duration kSettleTime = 50ms;

/** @returns a request for a stream from a caller that can't read chunks. */
std::string
MakeOldRequest()
{
  return "POST /stream/x HTTP/1.0\r\nHost: test.example\r\n"
         "X-Request-Id: r1\r\nContent-Length: 4\r\n\r\nbody";
}

/** An engine that sends one event; the test decides how its stream ends. */
class OneEventEngine
{
public:
  OneEventEngine()
    : server_([this](FakeConnection& aConnection) {
      if (!aConnection.ReadRequest().empty()) {
        aConnection.StartStream();
        aConnection.SendChunk(kFirstEvent);
        WaitForEnd();
        if (isComplete_) {
          aConnection.Send("0\r\n\r\n");
        }
      }
    })
  {
  }

  const FakeBackendServer& GetServer() const { return server_; }
  void EndStream(bool aIsComplete)
  {
    isComplete_ = aIsComplete;
    isEnding_ = true;
  }

private:
  void WaitForEnd() const
  {
    for (int wait = 0; wait < 300 && !isEnding_; ++wait) {
      std::this_thread::sleep_for(10ms);
    }
  }

  std::atomic<bool> isComplete_ = false;
  std::atomic<bool> isEnding_ = false;
  FakeBackendServer server_;
};

/** A caller that sends more than the daemon reads ahead, so that the daemon has
 * unread bytes when it closes. */
void
SendBeyondReadAhead(TestCaller& aCaller)
{
  std::this_thread::sleep_for(kSettleTime);
  aCaller.Send("xx");
  std::this_thread::sleep_for(kSettleTime);
  aCaller.Send("yy");
  std::this_thread::sleep_for(kSettleTime);
}

} // namespace

// Without chunks, the end of the connection ends the body: a stream that its
// engine broke off looked complete.
BOOST_FIXTURE_TEST_CASE(BrokenStreamWithoutChunksIsReset, ServingFixture)
{
  OneEventEngine engine;
  SetTables(MakeTables());
  AddServer("e1", "engines", engine.GetServer());
  TestCaller caller = Connect();
  caller.Send(MakeOldRequest());
  caller.ReadUntil(kFirstEvent);
  engine.EndStream(false);
  const CallerRemainder remainder = caller.ReadToEnd();
  BOOST_TEST(remainder.bytes_.ends_with(kFirstEvent));
  BOOST_TEST(!remainder.isClosedOrderly_);
}

// A stream without chunks that a planned stop cuts looked complete.
BOOST_FIXTURE_TEST_CASE(StreamWithoutChunksIsResetByAStop, ServingFixture)
{
  OneEventEngine engine;
  SetTables(MakeTables());
  AddServer("e1", "engines", engine.GetServer());
  TestCaller caller = Connect();
  caller.Send(MakeOldRequest());
  caller.ReadUntil(kFirstEvent);
  StopServer();
  BOOST_TEST(!caller.ReadToEnd().isClosedOrderly_);
  engine.EndStream(false);
}

// A complete stream without chunks must not be reset, which would make it look
// cut.
BOOST_FIXTURE_TEST_CASE(CompleteStreamWithoutChunksIsClosedOrderly,
                        ServingFixture)
{
  OneEventEngine engine;
  SetTables(MakeTables());
  AddServer("e1", "engines", engine.GetServer());
  TestCaller caller = Connect();
  caller.Send(MakeOldRequest());
  caller.ReadUntil(kFirstEvent);
  engine.EndStream(true);
  const CallerRemainder remainder = caller.ReadToEnd();
  BOOST_TEST(remainder.bytes_.ends_with(kFirstEvent));
  BOOST_TEST(remainder.isClosedOrderly_);
}

// An error has a length, so a caller that can't read chunks must not get a
// reset with it.
BOOST_FIXTURE_TEST_CASE(ErrorWithoutChunksIsClosedOrderly, ServingFixture)
{
  FakeBackendServer server([](FakeConnection& aConnection) {
    if (!aConnection.ReadRequest().empty()) {
      aConnection.StartStream();
    }
  });
  SetTables(MakeTables());
  AddServer("e1", "engines", server);
  TestCaller caller = Connect();
  caller.Send(MakeOldRequest());
  const CallerRemainder remainder = caller.ReadToEnd();
  BOOST_TEST(remainder.bytes_.find(" 502 ") != std::string::npos);
  BOOST_TEST(remainder.isClosedOrderly_);
}

// A whole 504 on a connection that closes anyway was taken for a cut response:
// the connection was reset if the caller had sent more.
BOOST_FIXTURE_TEST_CASE(WholeTimeoutErrorIsNotReset, ServingFixture)
{
  FakeBackendServer server([](FakeConnection& aConnection) {
    if (!aConnection.ReadRequest().empty()) {
      aConnection.WaitForClose();
    }
  });
  SetTables(MakeTables());
  AddServer("s1", "desk", server);
  Run([this] { GetServices().limits_.readAheadBytes_ = 1; });
  TestCaller caller = Connect();
  caller.Send(
    MakeRequest("/once/x", "Connection: close\r\nX-Time-Ms: 300\r\n"));
  SendBeyondReadAhead(caller);
  const CallerRemainder remainder = caller.ReadToEnd();
  BOOST_TEST(remainder.bytes_.find(" 504 ") != std::string::npos);
  BOOST_TEST(remainder.isClosedOrderly_);
}

// A cut response with chunks must not be reset, which can discard events that
// the caller has not read, and must be counted as cut.
BOOST_FIXTURE_TEST_CASE(CutChunkedStreamIsClosedOrderly, ServingFixture)
{
  OneEventEngine engine;
  SetTables(MakeTables());
  AddServer("e1", "engines", engine.GetServer());
  Run([this] { GetServices().limits_.readAheadBytes_ = 1; });
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x", "X-Time-Ms: 300\r\n"));
  SendBeyondReadAhead(caller);
  const CallerRemainder remainder = caller.ReadToEnd();
  BOOST_TEST(remainder.bytes_.find(kFirstEvent) != std::string::npos);
  BOOST_TEST(!remainder.bytes_.ends_with("0\r\n\r\n"));
  BOOST_TEST(remainder.isClosedOrderly_);
  caller.Close();
  engine.EndStream(false);
  BOOST_TEST(WaitForClose("response_cut", "partial"));
}

// A stream that its engine broke off must be counted as a cut response.
BOOST_FIXTURE_TEST_CASE(BrokenChunkedStreamIsCountedAsCut, ServingFixture)
{
  OneEventEngine engine;
  SetTables(MakeTables());
  AddServer("e1", "engines", engine.GetServer());
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  caller.ReadUntil(kFirstEvent);
  engine.EndStream(false);
  BOOST_TEST(caller.ReadToEnd().isClosedOrderly_);
  caller.Close();
  BOOST_TEST(WaitForClose("response_cut", "none"));
}

} // namespace azurecross

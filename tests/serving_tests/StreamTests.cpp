#include "ServingFixture.h"

#include "azurecross_serving/forward/EventBuffer.h"

#include <boost/test/unit_test.hpp>

#include <atomic>

namespace azurecross {

// Guards against bytes of a stream that are changed, lost or held back.
BOOST_FIXTURE_TEST_CASE(StreamIsPassedOnUnchanged, ServingFixture)
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
  const CallerAnswer answer = Call(MakeRequest("/stream/x"));
  BOOST_TEST(answer.status_ == 200U);
  BOOST_TEST(answer.isWhole_);
  BOOST_TEST(answer.body_ ==
             "weights: 3\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c");
}

// Guards against a broken stream that looks whole.
BOOST_FIXTURE_TEST_CASE(BrokenStreamHasNoEnd, ServingFixture)
{
  FakeBackendServer server([](FakeConnection& aConnection) {
    if (!aConnection.ReadRequest().empty()) {
      aConnection.StartStream();
      aConnection.SendChunk("id: 1\ndata: a\n\n");
    }
  });
  SetTables(MakeTables());
  AddServer("e1", "engines", server);
  const CallerAnswer answer = Call(MakeRequest("/stream/x"));
  BOOST_TEST(answer.status_ == 200U);
  BOOST_TEST(!answer.isWhole_);
}

// Guards against a generation that is sent to a second engine after the first
// may have run it.
BOOST_FIXTURE_TEST_CASE(GenerationIsNotRepeated, ServingFixture)
{
  std::atomic<int> requests = 0;
  const auto drop = [&](FakeConnection& aConnection) {
    if (!aConnection.ReadRequest().empty()) {
      ++requests;
    }
  };
  FakeBackendServer server(drop);
  FakeBackendServer other(drop);
  SetTables(MakeTables());
  AddServer("e1", "engines", server);
  AddServer("e2", "engines", other);
  BOOST_TEST(Call(MakeRequest("/stream/x")).status_ == 502U);
  BOOST_TEST(requests == 1);
}

// Guards against engines that work on for a caller who has left.
BOOST_FIXTURE_TEST_CASE(LeavingCallerEndsTheGeneration, ServingFixture)
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

// Guards against events cut in two, and ids taken from half an event.
BOOST_AUTO_TEST_CASE(BufferKeepsHalfEvents)
{
  EventBuffer buffer;
  buffer.Append("id: 1\ndata: a\n\nid: 2\nda");
  BOOST_TEST(buffer.TakeWholeEvents() == "id: 1\ndata: a\n\n");
  BOOST_TEST(buffer.GetLastId() == "1");
  BOOST_TEST(buffer.CountEvents() == 1U);
  BOOST_TEST(buffer.TakeWholeEvents().empty());
  buffer.Append("ta: b\r\n\r\n");
  BOOST_TEST(buffer.TakeWholeEvents() == "id: 2\ndata: b\r\n\r\n");
  BOOST_TEST(buffer.GetLastId() == "2");
  buffer.Append("id: 3\n");
  buffer.DropPart();
  BOOST_TEST(buffer.TakeRest().empty());
}

} // namespace azurecross

#include "ServingFixture.h"

#include <boost/test/unit_test.hpp>

#include <atomic>

namespace azurecross {

namespace {

std::string
MakeEvent(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: t\n\n";
}

/** Answers a call for a copy and closes. */
void
AnswerMove(FakeConnection& aConnection,
           unsigned aStatus,
           const std::string& aHandle)
{
  aConnection.Answer(aStatus, aHandle);
}

/** @returns whether the request is a call for a copy. */
bool
IsMove(const std::string& aRequest)
{
  return aRequest.starts_with("POST /move");
}

bool
IsLastMove(const std::string& aRequest)
{
  return aRequest.starts_with("POST /move/last");
}

/** Waits until the flag is set, for at most three seconds. */
void
Await(const std::atomic<bool>& aFlag)
{
  for (int wait = 0; wait < 300 && !aFlag; ++wait) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

/** An engine that takes a generation over and sends events from this one. */
FakeBackendServer::Script
MakeTarget(int aFirst, int aLast, std::atomic<int>& aResumes)
{
  return [aFirst, aLast, &aResumes](FakeConnection& aConnection) {
    if (aConnection.ReadRequest().empty()) {
      return;
    }
    ++aResumes;
    aConnection.StartStream();
    for (int id = aFirst; id <= aLast; ++id) {
      aConnection.SendChunk(MakeEvent(id));
    }
    aConnection.Send("0\r\n\r\n");
  };
}

} // namespace

// Guards against a caller that loses or repeats events when its generation
// moves: it sees one stream with each event once.
BOOST_FIXTURE_TEST_CASE(MovedGenerationGoesOn, ServingFixture)
{
  std::atomic<bool> isStopped = false;
  std::atomic<int> resumes = 0;
  FakeBackendServer source([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsMove(request)) {
      isStopped = isStopped || IsLastMove(request);
      AnswerMove(aConnection, 200, "h1");
      return;
    }
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(1));
    aConnection.SendChunk(MakeEvent(2));
    Await(isStopped);
    // A stopped engine closes the stream without its end.
  });
  FakeBackendServer target(MakeTarget(3, 4, resumes));
  SetTables(MakeTables());
  AddServer("e1", "engines", source);
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  caller.ReadUntil(MakeEvent(2));
  AddServer("e2", "engines", target);
  SetDraining("e1", "engines", source);
  const std::string rest = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(rest.find(MakeEvent(3)) != std::string::npos);
  BOOST_TEST(rest.find(MakeEvent(4)) != std::string::npos);
  BOOST_TEST(resumes == 1);
}

// Guards against a generation that is resumed although it has ended: its last
// events came twice when its stream had no framing and the engine answered the
// call to stop it with "no such run".
BOOST_FIXTURE_TEST_CASE(EndedGenerationIsNotResumed, ServingFixture)
{
  std::atomic<bool> isAsked = false;
  std::atomic<int> resumes = 0;
  FakeBackendServer source([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsLastMove(request)) {
      isAsked = true;
      // The stream ends before this answer.
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      AnswerMove(aConnection, 404, "");
      return;
    }
    if (IsMove(request)) {
      AnswerMove(aConnection, 200, "h1");
      return;
    }
    aConnection.Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                     "X-Request-Id: r1\r\nConnection: close\r\n\r\n");
    aConnection.Send(MakeEvent(1));
    Await(isAsked);
    aConnection.Send(MakeEvent(2));
  });
  FakeBackendServer target(MakeTarget(2, 2, resumes));
  SetTables(MakeTables());
  AddServer("e1", "engines", source);
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  caller.ReadUntil(MakeEvent(1));
  AddServer("e2", "engines", target);
  SetDraining("e1", "engines", source);
  const std::string rest = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(rest.find(MakeEvent(2)) != std::string::npos);
  BOOST_TEST(rest.find(MakeEvent(2)) == rest.rfind(MakeEvent(2)));
  BOOST_TEST(resumes == 0);
}

// Guards against a generation that stays on a leaving engine because the first
// engine asked has no room.
BOOST_FIXTURE_TEST_CASE(MoveTriesAnotherEngine, ServingFixture)
{
  std::atomic<bool> isStopped = false;
  std::atomic<int> copies = 0;
  std::atomic<int> resumes = 0;
  FakeBackendServer source([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsMove(request)) {
      isStopped = isStopped || IsLastMove(request);
      AnswerMove(aConnection, ++copies == 1 ? 503 : 200, "h1");
      return;
    }
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(1));
    Await(isStopped);
  });
  FakeBackendServer target(MakeTarget(2, 2, resumes));
  FakeBackendServer otherTarget(MakeTarget(2, 2, resumes));
  SetTables(MakeTables());
  AddServer("e1", "engines", source);
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  caller.ReadUntil(MakeEvent(1));
  AddServer("e2", "engines", target);
  AddServer("e3", "engines", otherTarget);
  SetDraining("e1", "engines", source);
  const std::string rest = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(rest.find(MakeEvent(2)) != std::string::npos);
  BOOST_TEST(resumes == 1);
}

// Guards against a generation lost with an engine that ends before its last
// copy: the first copy is enough to go on.
BOOST_FIXTURE_TEST_CASE(FirstCopyOutlivesItsEngine, ServingFixture)
{
  std::atomic<int> copies = 0;
  std::atomic<int> resumes = 0;
  FakeBackendServer source([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsMove(request)) {
      if (++copies == 1) {
        AnswerMove(aConnection, 200, "h1");
      }
      // Later calls find the engine gone.
      return;
    }
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(1));
    for (int wait = 0; wait < 300 && copies < 2; ++wait) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    aConnection.SendChunk("id: 2\nda");
  });
  FakeBackendServer target(MakeTarget(2, 3, resumes));
  SetTables(MakeTables());
  AddServer("e1", "engines", source);
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  caller.ReadUntil(MakeEvent(1));
  AddServer("e2", "engines", target);
  SetDraining("e1", "engines", source);
  const std::string rest = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(rest.find(MakeEvent(2)) != std::string::npos);
  BOOST_TEST(rest.find(MakeEvent(3)) != std::string::npos);
  BOOST_TEST(resumes == 1);
}

// Guards against a generation that stays on an engine which began to leave
// while it read the prompt.
BOOST_FIXTURE_TEST_CASE(GenerationThatBeginsOnLeavingEngineMoves,
                        ServingFixture)
{
  std::atomic<bool> isLeaving = false;
  std::atomic<bool> isStopped = false;
  std::atomic<int> resumes = 0;
  FakeBackendServer source([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsMove(request)) {
      isStopped = isStopped || IsLastMove(request);
      AnswerMove(aConnection, 200, "h1");
      return;
    }
    Await(isLeaving);
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(1));
    Await(isStopped);
  });
  FakeBackendServer target(MakeTarget(2, 2, resumes));
  SetTables(MakeTables());
  AddServer("e1", "engines", source);
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  for (int wait = 0; wait < 300 && source.CountConnections() == 0; ++wait) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  AddServer("e2", "engines", target);
  SetDraining("e1", "engines", source);
  isLeaving = true;
  const std::string rest = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(rest.find(MakeEvent(2)) != std::string::npos);
  BOOST_TEST(resumes == 1);
}

} // namespace azurecross

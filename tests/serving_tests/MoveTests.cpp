#include "ServingFixture.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <optional>

namespace azurecross {

namespace {

std::string
MakeEvent(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: t\n\n";
}

/** Responds to a request for a copy and closes the connection. */
void
RespondToMove(FakeConnection& aConnection,
              unsigned aStatus,
              const std::string& aHandle)
{
  aConnection.Answer(aStatus, aHandle);
}

/** @returns whether the request asks for a copy. */
bool
IsMoveRequest(const std::string& aRequest)
{
  return aRequest.starts_with("POST /move");
}

/** @returns whether the request asks to stop the generation as well. */
bool
IsFinalMoveRequest(const std::string& aRequest)
{
  return aRequest.starts_with("POST /move/last");
}

/** Waits until the flag is set, for at most three seconds. */
void
WaitForFlag(const std::atomic<bool>& aFlag)
{
  for (int wait = 0; wait < 300 && !aFlag; ++wait) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

/** Waits until the count is reached, for at most three seconds. */
void
WaitForCount(const std::atomic<int>& aCount, int aExpected)
{
  for (int wait = 0; wait < 300 && aCount < aExpected; ++wait) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

/**
 * An engine that resumes a generation and sends the events from `aFirst` to
 * `aLast`.
 */
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

// A caller must not lose or repeat events when its generation moves: it sees
// one stream with each event once.
BOOST_FIXTURE_TEST_CASE(MovedGenerationContinues, ServingFixture)
{
  std::atomic<bool> isStopped = false;
  std::atomic<int> resumes = 0;
  FakeBackendServer source([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsMoveRequest(request)) {
      isStopped = isStopped || IsFinalMoveRequest(request);
      RespondToMove(aConnection, 200, "h1");
      return;
    }
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(1));
    aConnection.SendChunk(MakeEvent(2));
    WaitForFlag(isStopped);
    // An engine that stops a generation closes the stream without its end.
  });
  FakeBackendServer target(MakeTarget(3, 4, resumes));
  SetTables(MakeTables());
  AddServer("e1", "engines", source);
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  caller.ReadUntil(MakeEvent(2));
  AddServer("e2", "engines", target);
  SetDraining("e1", "engines", source);
  const std::string remainder = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(remainder.find(MakeEvent(3)) != std::string::npos);
  BOOST_TEST(remainder.find(MakeEvent(4)) != std::string::npos);
  BOOST_TEST(resumes == 1);
}

// A stop response just before the end of a generation left its time limit on
// the connection, which was closed while it waited for its next request.
BOOST_FIXTURE_TEST_CASE(StopBeforeTheEndKeepsTheConnection, ServingFixture)
{
  std::atomic<bool> isStopped = false;
  std::atomic<bool> isClosed = false;
  std::atomic<int> resumes = 0;
  FakeBackendServer source([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsMoveRequest(request)) {
      RespondToMove(aConnection, 200, "h1");
      isStopped = isStopped || IsFinalMoveRequest(request);
      return;
    }
    if (!request.starts_with("POST /stream")) {
      // The copy that isn't needed is released.
      return;
    }
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(1));
    WaitForFlag(isStopped);
    // The stop response arrives before the end of the stream.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    aConnection.SendChunk(MakeEvent(2));
    aConnection.Send("0\r\n\r\n");
    isClosed = aConnection.WaitForClose();
  });
  FakeBackendServer target(MakeTarget(2, 2, resumes));
  SetTables(MakeTables());
  AddServer("e1", "engines", source);
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  caller.ReadUntil(MakeEvent(1));
  AddServer("e2", "engines", target);
  SetDraining("e1", "engines", source);
  BOOST_TEST(caller.ReadUntil("0\r\n\r\n").find(MakeEvent(2)) !=
             std::string::npos);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  BOOST_TEST(!isClosed);
  BOOST_TEST(resumes == 0);
}

// A generation that has ended must not be resumed. The last events came twice
// when the stream had no framing and the engine answered the stop request with
// "no such run".
BOOST_FIXTURE_TEST_CASE(EndedGenerationIsNotResumed, ServingFixture)
{
  std::atomic<bool> isStopRequested = false;
  std::atomic<int> resumes = 0;
  FakeBackendServer source([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsFinalMoveRequest(request)) {
      isStopRequested = true;
      // The stream ends before this response.
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      RespondToMove(aConnection, 404, "");
      return;
    }
    if (IsMoveRequest(request)) {
      RespondToMove(aConnection, 200, "h1");
      return;
    }
    aConnection.Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                     "X-Request-Id: r1\r\nConnection: close\r\n\r\n");
    aConnection.Send(MakeEvent(1));
    WaitForFlag(isStopRequested);
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
  const std::string remainder = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(remainder.find(MakeEvent(2)) != std::string::npos);
  BOOST_TEST(remainder.find(MakeEvent(2)) == remainder.rfind(MakeEvent(2)));
  BOOST_TEST(resumes == 0);
}

// A generation must not stay on a draining engine because the first target has
// no room.
BOOST_FIXTURE_TEST_CASE(MoveTriesAnotherTarget, ServingFixture)
{
  std::atomic<bool> isStopped = false;
  std::atomic<int> copies = 0;
  std::atomic<int> resumes = 0;
  FakeBackendServer source([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsMoveRequest(request)) {
      isStopped = isStopped || IsFinalMoveRequest(request);
      RespondToMove(aConnection, ++copies == 1 ? 503 : 200, "h1");
      return;
    }
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(1));
    WaitForFlag(isStopped);
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
  const std::string remainder = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(remainder.find(MakeEvent(2)) != std::string::npos);
  BOOST_TEST(resumes == 1);
}

// A generation must survive an engine that ends before the final copy: it
// resumes from the first copy.
BOOST_FIXTURE_TEST_CASE(GenerationResumesFromFirstCopy, ServingFixture)
{
  std::atomic<int> copies = 0;
  std::atomic<int> resumes = 0;
  std::optional<FakeBackendServer> source;
  source.emplace([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsMoveRequest(request)) {
      if (++copies == 1) {
        RespondToMove(aConnection, 200, "h1");
      }
      // Later move requests get no response: the engine is about to end.
      return;
    }
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(1));
    WaitForCount(copies, 2);
    aConnection.SendChunk("id: 2\nda");
  });
  FakeBackendServer target(MakeTarget(2, 3, resumes));
  SetTables(MakeTables());
  AddServer("e1", "engines", *source);
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  caller.ReadUntil(MakeEvent(1));
  AddServer("e2", "engines", target);
  SetDraining("e1", "engines", *source);
  WaitForCount(copies, 2);
  source.reset();
  const std::string remainder = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(remainder.find(MakeEvent(2)) != std::string::npos);
  BOOST_TEST(remainder.find(MakeEvent(3)) != std::string::npos);
  BOOST_TEST(resumes == 1);
}

// A stream without framing that is cut off inside an event must go on from the
// copy; the part of the event was sent to the caller.
BOOST_FIXTURE_TEST_CASE(UnframedStreamCutInsideEventResumes, ServingFixture)
{
  std::atomic<bool> isCut = false;
  std::atomic<int> copies = 0;
  std::atomic<int> resumes = 0;
  std::optional<FakeBackendServer> source;
  source.emplace([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsMoveRequest(request)) {
      if (++copies == 1) {
        RespondToMove(aConnection, 200, "h1");
      }
      return;
    }
    aConnection.Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                     "X-Request-Id: r1\r\n\r\n" +
                     MakeEvent(1));
    WaitForCount(copies, 2);
    aConnection.Send("id: 2\nda");
    isCut = true;
  });
  FakeBackendServer target(MakeTarget(2, 3, resumes));
  SetTables(MakeTables());
  AddServer("e1", "engines", *source);
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  caller.ReadUntil(MakeEvent(1));
  AddServer("e2", "engines", target);
  SetDraining("e1", "engines", *source);
  // The end of the engine closes its stream as well.
  WaitForFlag(isCut);
  source.reset();
  const std::string remainder = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(remainder.find("id: 2\nda\r\n") == std::string::npos);
  BOOST_TEST(remainder.find(MakeEvent(2)) != std::string::npos);
  BOOST_TEST(remainder.find(MakeEvent(3)) != std::string::npos);
  BOOST_TEST(resumes == 1);
}

// A response to the stop request that arrives while the stream already resumes
// must not touch the resumed stream. It limited the time of the new connection,
// which cut the stream.
BOOST_FIXTURE_TEST_CASE(LateStopResponseDoesNotCutResumedStream, ServingFixture)
{
  // The exchange waits 1.8 s for a move in progress, the mover 2.5 s.
  constexpr auto kStopResponseDelay = std::chrono::milliseconds(2100);
  constexpr auto kResumeDelay = std::chrono::milliseconds(900);
  std::atomic<bool> isStopRequested = false;
  std::atomic<int> resumes = 0;
  FakeBackendServer source([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsFinalMoveRequest(request)) {
      isStopRequested = true;
      std::this_thread::sleep_for(kStopResponseDelay);
      RespondToMove(aConnection, 200, "h2");
      return;
    }
    if (IsMoveRequest(request)) {
      RespondToMove(aConnection, 200, "h1");
      return;
    }
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(1));
    WaitForFlag(isStopRequested);
  });
  FakeBackendServer target([&](FakeConnection& aConnection) {
    if (aConnection.ReadRequest().empty()) {
      return;
    }
    ++resumes;
    std::this_thread::sleep_for(kResumeDelay);
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(2));
    aConnection.Send("0\r\n\r\n");
  });
  SetTables(MakeTables());
  AddServer("e1", "engines", source);
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  caller.ReadUntil(MakeEvent(1));
  AddServer("e2", "engines", target);
  SetDraining("e1", "engines", source);
  const std::string remainder = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(remainder.find(MakeEvent(2)) != std::string::npos);
  BOOST_TEST(resumes == 1);
}

// A generation must not stay on an engine that starts to drain while the
// generation is moved to it: the engine ended and the stream was lost.
BOOST_FIXTURE_TEST_CASE(GenerationMovesOnFromDrainingTarget, ServingFixture)
{
  std::atomic<bool> isStopped = false;
  std::atomic<bool> isTargetDraining = false;
  std::atomic<bool> isTargetStopped = false;
  std::atomic<int> resumes = 0;
  FakeBackendServer source([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsFinalMoveRequest(request)) {
      WaitForFlag(isTargetDraining);
      isStopped = true;
    }
    if (IsMoveRequest(request)) {
      RespondToMove(aConnection, 200, "h1");
      return;
    }
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(1));
    WaitForFlag(isStopped);
  });
  FakeBackendServer target([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsMoveRequest(request)) {
      isTargetStopped = isTargetStopped || IsFinalMoveRequest(request);
      RespondToMove(aConnection, 200, "h2");
      return;
    }
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(2));
    WaitForFlag(isTargetStopped);
  });
  FakeBackendServer lastTarget(MakeTarget(3, 3, resumes));
  SetTables(MakeTables());
  AddServer("e1", "engines", source);
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  caller.ReadUntil(MakeEvent(1));
  AddServer("e2", "engines", target);
  SetDraining("e1", "engines", source);
  for (int wait = 0; wait < 300 && source.CountConnections() < 2; ++wait) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  AddServer("e3", "engines", lastTarget);
  SetDraining("e2", "engines", target);
  isTargetDraining = true;
  const std::string remainder = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(remainder.find(MakeEvent(2)) != std::string::npos);
  BOOST_TEST(remainder.find(MakeEvent(3)) != std::string::npos);
  BOOST_TEST(resumes == 1);
}

// A generation must move off an engine that started to drain while it processed
// the prompt.
BOOST_FIXTURE_TEST_CASE(GenerationStartedOnDrainingEngineMoves, ServingFixture)
{
  std::atomic<bool> isDraining = false;
  std::atomic<bool> isStopped = false;
  std::atomic<int> resumes = 0;
  FakeBackendServer source([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsMoveRequest(request)) {
      isStopped = isStopped || IsFinalMoveRequest(request);
      RespondToMove(aConnection, 200, "h1");
      return;
    }
    WaitForFlag(isDraining);
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(1));
    WaitForFlag(isStopped);
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
  isDraining = true;
  const std::string remainder = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(remainder.find(MakeEvent(2)) != std::string::npos);
  BOOST_TEST(resumes == 1);
}

// An engine that resets a stream and works on must be stopped before the
// generation resumes elsewhere; it ran at two engines.
BOOST_FIXTURE_TEST_CASE(LostAnswerStopsTheEngineBeforeTheResume, ServingFixture)
{
  std::atomic<bool> isStopped = false;
  std::atomic<int> copies = 0;
  std::atomic<int> resumes = 0;
  std::atomic<int> doubleRuns = 0;
  FakeBackendServer source([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsMoveRequest(request)) {
      isStopped = isStopped || IsFinalMoveRequest(request);
      // The copies are slow, so that the mover does not stop the generation.
      std::this_thread::sleep_for(std::chrono::milliseconds(80));
      RespondToMove(aConnection, 200, "h" + std::to_string(++copies));
      return;
    }
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(1));
    WaitForCount(copies, 1);
    aConnection.Abort();
  });
  FakeBackendServer target([&](FakeConnection& aConnection) {
    if (aConnection.ReadRequest().empty()) {
      return;
    }
    doubleRuns += isStopped ? 0 : 1;
    ++resumes;
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(2));
    aConnection.Send("0\r\n\r\n");
  });
  SetTables(MakeTables());
  AddServer("e1", "engines", source);
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  caller.ReadUntil(MakeEvent(1));
  AddServer("e2", "engines", target);
  SetDraining("e1", "engines", source);
  const std::string remainder = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(remainder.find(MakeEvent(2)) != std::string::npos);
  BOOST_TEST(resumes == 1);
  BOOST_TEST(doubleRuns == 0);
}

// A generation whose copies have all been made, but which was never stopped,
// must be stopped when its answer is lost later.
BOOST_FIXTURE_TEST_CASE(LostAnswerAfterTheLastCopyStopsTheEngine,
                        ServingFixture)
{
  std::atomic<bool> isStopped = false;
  std::atomic<int> copies = 0;
  std::atomic<int> resumes = 0;
  std::atomic<int> doubleRuns = 0;
  FakeBackendServer source([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsFinalMoveRequest(request)) {
      isStopped = true;
      RespondToMove(aConnection, 200, "h9");
      return;
    }
    if (IsMoveRequest(request)) {
      // The second copy fails, which ends the move.
      RespondToMove(aConnection, ++copies == 1 ? 200 : 503, "h1");
      return;
    }
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(1));
    WaitForCount(copies, 2);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    aConnection.Abort();
  });
  FakeBackendServer target([&](FakeConnection& aConnection) {
    if (aConnection.ReadRequest().empty()) {
      return;
    }
    doubleRuns += isStopped ? 0 : 1;
    ++resumes;
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(2));
    aConnection.Send("0\r\n\r\n");
  });
  SetTables(MakeTables());
  AddServer("e1", "engines", source);
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  caller.ReadUntil(MakeEvent(1));
  AddServer("e2", "engines", target);
  SetDraining("e1", "engines", source);
  const std::string remainder = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(remainder.find(MakeEvent(2)) != std::string::npos);
  BOOST_TEST(resumes == 1);
  BOOST_TEST(doubleRuns == 0);
}

// A generation that its engine dropped when the connection broke must resume
// from its copy.
BOOST_FIXTURE_TEST_CASE(DroppedGenerationResumesFromItsCopy, ServingFixture)
{
  std::atomic<int> copies = 0;
  std::atomic<int> resumes = 0;
  FakeBackendServer source([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsFinalMoveRequest(request)) {
      RespondToMove(aConnection, 404, "");
      return;
    }
    if (IsMoveRequest(request)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(80));
      RespondToMove(aConnection, 200, "h1");
      ++copies;
      return;
    }
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(1));
    WaitForCount(copies, 1);
    aConnection.Abort();
  });
  FakeBackendServer target(MakeTarget(2, 2, resumes));
  SetTables(MakeTables());
  AddServer("e1", "engines", source);
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  caller.ReadUntil(MakeEvent(1));
  AddServer("e2", "engines", target);
  SetDraining("e1", "engines", source);
  const std::string remainder = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(remainder.find(MakeEvent(2)) != std::string::npos);
  BOOST_TEST(resumes == 1);
}

// An engine that takes connections and never confirms the stop may work on: the
// generation must not resume beside it.
BOOST_FIXTURE_TEST_CASE(UnconfirmedStopDoesNotResume, ServingFixture)
{
  std::atomic<int> copies = 0;
  std::atomic<int> resumes = 0;
  FakeBackendServer source([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsMoveRequest(request)) {
      if (++copies == 1) {
        RespondToMove(aConnection, 200, "h1");
      } else {
        aConnection.Abort();
      }
      return;
    }
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(1));
    WaitForCount(copies, 2);
    aConnection.Abort();
  });
  FakeBackendServer target(MakeTarget(2, 2, resumes));
  SetTables(MakeTables());
  AddServer("e1", "engines", source);
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  caller.ReadUntil(MakeEvent(1));
  AddServer("e2", "engines", target);
  SetDraining("e1", "engines", source);
  const std::string remainder = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(remainder.find("0\r\n\r\n") == std::string::npos);
  BOOST_TEST(resumes == 0);
}

// A target that may have begun, and whose answer was lost, must not run the
// generation beside its source.
BOOST_FIXTURE_TEST_CASE(LostAnswerOfTheTargetDoesNotResumeAtTheSource,
                        ServingFixture)
{
  std::atomic<bool> isStopped = false;
  std::atomic<int> resumes = 0;
  std::atomic<int> sourceResumes = 0;
  FakeBackendServer source([&](FakeConnection& aConnection) {
    const std::string request = aConnection.ReadRequest();
    if (IsMoveRequest(request)) {
      isStopped = isStopped || IsFinalMoveRequest(request);
      RespondToMove(aConnection, 200, "h1");
      return;
    }
    if (!aConnection.FindHeader("X-Copy").empty()) {
      ++sourceResumes;
      return;
    }
    aConnection.StartStream();
    aConnection.SendChunk(MakeEvent(1));
    WaitForFlag(isStopped);
  });
  FakeBackendServer target([&](FakeConnection& aConnection) {
    if (!aConnection.ReadRequest().empty()) {
      ++resumes;
      aConnection.Abort();
    }
  });
  SetTables(MakeTables());
  AddServer("e1", "engines", source);
  TestCaller caller = Connect();
  caller.Send(MakeRequest("/stream/x"));
  caller.ReadUntil(MakeEvent(1));
  AddServer("e2", "engines", target);
  SetDraining("e1", "engines", source);
  const std::string remainder = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(remainder.find("0\r\n\r\n") == std::string::npos);
  BOOST_TEST(resumes == 1);
  BOOST_TEST(sourceResumes == 0);
}

} // namespace azurecross

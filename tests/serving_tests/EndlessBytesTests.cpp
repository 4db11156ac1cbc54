#include "ServingFixture.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace azurecross {

namespace {

constexpr std::size_t kBlockBytes = std::size_t{ 64 } * 1024;
/** More than the buffers of the two sockets can hold. */
constexpr std::size_t kSentBytes = std::size_t{ 64 } << 20;
constexpr std::size_t kAcceptedBytes = std::size_t{ 24 } << 20;

const std::string kChunkedHead =
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: r1\r\n"
  "Transfer-Encoding: chunked\r\n\r\n";
const std::string kEventChunk = "f\r\nid: 1\ndata: t\n\n\r\n";

/** Sends a text and then a piece again and again, until the peer closes or
 * `kSentBytes` have been sent. */
FakeBackendServer::Script
MakeEndlessServer(std::string aStart,
                  std::string aPiece,
                  std::atomic<std::size_t>& aSentBytes)
{
  return [start = std::move(aStart), piece = std::move(aPiece), &aSentBytes](
           FakeConnection& aConnection) {
    if (aConnection.ReadRequest().empty()) {
      return;
    }
    aConnection.Send(start);
    std::string block;
    while (block.size() < kBlockBytes) {
      block += piece;
    }
    while (aSentBytes < kSentBytes && aConnection.Send(block)) {
      aSentBytes += block.size();
    }
  };
}

/** Cases of bytes that end neither a chunk nor an answer. */
struct EndlessCase
{
  std::string path_;
  std::string pool_;
  std::string start_;
  std::string piece_;
};

} // namespace

// Bytes that the parser keeps until their line is complete must not fill the
// memory; a chunk size line without end ended the process.
BOOST_FIXTURE_TEST_CASE(EndlessLinesOfAnAnswerAreBounded, ServingFixture)
{
  const std::vector<EndlessCase> cases = {
    { "/stream/x", "engines", kChunkedHead + kEventChunk + "1;", "x" },
    { "/stream/x", "engines", kChunkedHead + kEventChunk, "0" },
    { "/stream/x",
      "engines",
      kChunkedHead + kEventChunk + "0\r\nX-Trailer: ",
      "x" },
    { "/stream/x",
      "engines",
      kChunkedHead + kEventChunk + "0\r\n",
      "X-Trailer: x\r\n" },
    { "/once/x", "desk", kChunkedHead + "1;", "x" },
    { "/once/x", "desk", kChunkedHead + "0\r\nX-Trailer: ", "x" },
    { "/once/x", "desk", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  };
  SetTables(MakeTables());
  for (const EndlessCase& test : cases) {
    BOOST_TEST_CONTEXT(test.path_ + " " + test.start_ + test.piece_)
    {
      std::atomic<std::size_t> sentBytes = 0;
      auto server = std::make_unique<FakeBackendServer>(
        MakeEndlessServer(test.start_, test.piece_, sentBytes));
      AddServer("s1", test.pool_, *server);
      TestCaller caller = Connect();
      caller.Send(MakeRequest(test.path_));
      const CallerAnswer answer = caller.ReadAnswer();
      BOOST_TEST((!answer.isWhole_ || answer.status_ != 200U));
      server.reset();
      BOOST_TEST(sentBytes < kAcceptedBytes);
      Run([&] {
        GetState().ApplyServerEvents(
          { { BackendServerId("s1"), {}, "" } }, false, ReadMonotonicTime());
      });
    }
  }
}

// Incomplete events of many streams must not fill the memory together; each
// stream alone was bounded.
BOOST_FIXTURE_TEST_CASE(IncompleteEventsAreBoundedTogether, ServingFixture)
{
  constexpr int kStreams = 24;
  std::atomic<int> broken = 0;
  std::vector<std::unique_ptr<FakeBackendServer>> servers;
  SetTables(MakeTables());
  for (int index = 0; index < kStreams; ++index) {
    servers.push_back(
      std::make_unique<FakeBackendServer>([&](FakeConnection& aConnection) {
        if (aConnection.ReadRequest().empty()) {
          return;
        }
        aConnection.StartStream();
        aConnection.SendChunk("id: 1\ndata: t\n\n");
        // Stays below the limit of one event.
        aConnection.SendChunk("data: " + std::string(200000, 'x'));
        broken += aConnection.WaitForClose() ? 1 : 0;
      }));
    AddServer("s" + std::to_string(index), "engines", *servers.back());
  }
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (int index = 0; index < kStreams; ++index) {
    callers.emplace_back(new TestCaller(Connect()));
    callers.back()->Send(MakeRequest("/stream/x"));
  }
  std::size_t peakBytes = 0;
  for (int wait = 0; wait < 300 && broken < kStreams / 2; ++wait) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    peakBytes =
      std::max(peakBytes, GetServices().responseBudget_.GetUsedBytes());
  }
  BOOST_TEST(broken >= kStreams / 2);
  BOOST_TEST(peakBytes > 0U);
  BOOST_TEST(peakBytes <= kResponseBudgetBytes);
}

} // namespace azurecross

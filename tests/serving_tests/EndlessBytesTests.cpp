#include "ServingFixture.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <memory>
#include <sstream>
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
  servers.reserve(kStreams);
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
  callers.reserve(kStreams);
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

// Bodies of many requests must not fill the memory together; those that find no
// memory are refused, and small requests are served beside them.
BOOST_FIXTURE_TEST_CASE(RequestBodiesAreBoundedTogether, ServingFixture)
{
  constexpr std::size_t kBodyBytes = std::size_t{ 1 } << 20;
  constexpr int kCallers = 12;
  std::atomic<int> received = 0;
  std::atomic<bool> mayAnswer = false;
  FakeBackendServer server([&](FakeConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      ++received;
      for (int wait = 0; wait < 300 && !mayAnswer; ++wait) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      }
      aConnection.Answer(200, "{}");
    }
  });
  SetTables(MakeTables());
  for (int index = 0; index < kCallers; ++index) {
    AddServer("s" + std::to_string(index), "desk", server);
  }
  const auto makeRequest = [](std::size_t aSize, bool aIsChunked) {
    const std::string head = "POST /once/x HTTP/1.1\r\nHost: test.example\r\n"
                             "X-Request-Id: r1\r\n";
    const std::string body(aSize, 'b');
    if (!aIsChunked) {
      return head + "Content-Length: " + std::to_string(aSize) + "\r\n\r\n" +
             body;
    }
    std::ostringstream size;
    size << std::hex << aSize;
    return head + "Transfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n" +
           body + "\r\n0\r\n\r\n";
  };
  std::vector<std::future<CallerAnswer>> answers;
  answers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    answers.push_back(std::async(std::launch::async, [&, caller] {
      return Call(makeRequest(kBodyBytes, caller % 2 == 0));
    }));
  }
  std::size_t peakBytes = 0;
  for (int wait = 0; wait < 50; ++wait) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    peakBytes =
      std::max(peakBytes, GetServices().requestBudget_.GetUsedBytes());
  }
  std::future<CallerAnswer> smallAnswer = std::async(
    std::launch::async, [&] { return Call(makeRequest(100, false)); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  mayAnswer = true;
  int served = 0;
  for (auto& future : answers) {
    const CallerAnswer answer = future.get();
    served += answer.status_ == 200U ? 1 : 0;
    if (answer.status_ != 200U) {
      BOOST_TEST(answer.status_ == 503U);
      BOOST_TEST(!answer.FindHeader("Retry-After").empty());
      BOOST_TEST(answer.Count("body_memory_exhausted") == 1);
    }
  }
  BOOST_TEST(smallAnswer.get().status_ == 200U);
  BOOST_TEST(served > 0);
  BOOST_TEST(served < kCallers);
  BOOST_TEST(received == served + 1);
  BOOST_TEST(peakBytes > 0U);
  BOOST_TEST(peakBytes <= kRequestBudgetBytes);
  BOOST_TEST(Call(makeRequest(kBodyBytes, false)).status_ == 200U);
}

} // namespace azurecross

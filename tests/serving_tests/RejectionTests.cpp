#include "ServingFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <ostream>

namespace azurecross {

namespace {

constexpr std::chrono::milliseconds kStepTime{ 20 };

/** When a server sends the copy of its rejection. */
enum class CopyTime
{
  /** A few milliseconds after the rejection, whatever comes meanwhile. */
  SoonAfterRejection,
  /** When the head of the next request on the connection has arrived. */
  AfterNextHead,
  /** When the next request on the connection is running. */
  DuringNextRun,
  /** As above, in two parts. */
  DuringNextRunInParts,
};

constexpr std::array kCopyTimes{ CopyTime::SoonAfterRejection,
                                 CopyTime::AfterNextHead,
                                 CopyTime::DuringNextRun,
                                 CopyTime::DuringNextRunInParts };

constexpr NameTable<CopyTime, 4> kCopyTimeNames{
  { { { CopyTime::SoonAfterRejection, "soon after the rejection" },
      { CopyTime::AfterNextHead, "after the next head" },
      { CopyTime::DuringNextRun, "during the next run" },
      { CopyTime::DuringNextRunInParts, "during the next run, in parts" } } }
};

std::ostream&
operator<<(std::ostream& aStream, CopyTime aTime)
{
  return aStream << kCopyTimeNames.FindName(aTime);
}

/** What a server sends after the copy, where an answer is due. */
enum class FollowUp
{
  Answer,
  Nothing,
};

constexpr std::array kFollowUps{ FollowUp::Answer, FollowUp::Nothing };

constexpr NameTable<FollowUp, 2> kFollowUpNames{
  { { { FollowUp::Answer, "an answer" }, { FollowUp::Nothing, "nothing" } } }
};

std::ostream&
operator<<(std::ostream& aStream, FollowUp aFollowUp)
{
  return aStream << kFollowUpNames.FindName(aFollowUp);
}

/** A server whose address is registered under several ids. It rejects the first
 * send of a request, sends the rejection once more on that connection, and runs
 * what is sent afterwards. */
class CopyingServer
{
public:
  CopyingServer(unsigned aStatus, CopyTime aTime, FollowUp aFollowUp)
    : status_(aStatus)
    , time_(aTime)
    , followUp_(aFollowUp)
    , server_([this](FakeConnection& aConnection) { Serve(aConnection); })
  {
  }

  const FakeBackendServer& GetServer() const { return server_; }
  int CountRuns() const { return runs_; }

private:
  std::string FormatRejection(const FakeConnection& aConnection) const
  {
    return "HTTP/1.1 " + std::to_string(status_) +
           " Rejected\r\nX-Not-Run: 1\r\nX-Request-Id: " +
           aConnection.FindHeader("X-Request-Id") +
           "\r\nContent-Length: 2\r\n\r\nno";
  }

  void Serve(FakeConnection& aConnection)
  {
    std::string copy;
    while (!aConnection.ReadRequest().empty()) {
      if (!hasRejected_.exchange(true)) {
        copy = FormatRejection(aConnection);
        aConnection.Send(copy);
        if (time_ == CopyTime::SoonAfterRejection) {
          std::this_thread::sleep_for(std::chrono::milliseconds(5));
          aConnection.Send(std::exchange(copy, {}));
        }
        continue;
      }
      ++runs_;
      if (!SendCopy(aConnection, std::exchange(copy, {}))) {
        return;
      }
    }
  }

  /** @returns whether the connection can be used further. */
  bool SendCopy(FakeConnection& aConnection, const std::string& aCopy)
  {
    if (time_ != CopyTime::AfterNextHead) {
      std::this_thread::sleep_for(kStepTime);
    }
    const std::size_t half = aCopy.size() / 2;
    if (time_ == CopyTime::DuringNextRunInParts) {
      aConnection.Send(aCopy.substr(0, half));
      std::this_thread::sleep_for(kStepTime);
      aConnection.Send(aCopy.substr(half));
    } else {
      aConnection.Send(aCopy);
    }
    std::this_thread::sleep_for(kStepTime);
    return followUp_ == FollowUp::Answer && aConnection.Answer(200, "answer");
  }

  unsigned status_;
  CopyTime time_;
  FollowUp followUp_;
  std::atomic<bool> hasRejected_ = false;
  std::atomic<int> runs_ = 0;
  FakeBackendServer server_;
};

constexpr std::array kRejections{ 421U, 503U };
/** With two ids, a copy that is taken for the response leaves no further
 * server, and the caller is told that the request has not run. */
constexpr std::array kIdCounts{ 2, 3 };

} // namespace

// Guards against requests that run twice, or after a refusal.
BOOST_DATA_TEST_CASE_F(ServingFixture,
                       RejectionCopyIsNotTakenForTheResponse,
                       boost::unit_test::data::make(kRejections) *
                         boost::unit_test::data::make(kCopyTimes) *
                         boost::unit_test::data::make(kFollowUps) *
                         boost::unit_test::data::make(kIdCounts),
                       status,
                       copyTime,
                       followUp,
                       ids)
{
  CopyingServer server(status, copyTime, followUp);
  SetTables(MakeTables());
  for (int id = 0; id < ids; ++id) {
    AddServer("s" + std::to_string(id), "desk", server.GetServer());
  }
  const CallerAnswer response = Call(MakeRequest("/once/x"));
  BOOST_TEST(server.CountRuns() == 1);
  if (followUp == FollowUp::Answer) {
    BOOST_TEST(response.status_ == 200U);
    BOOST_TEST(response.body_ == "answer");
  } else {
    BOOST_TEST(response.FindHeader("X-Azurecross-Verdict") == "may_have_run");
  }
}

// Guards against a new connection for each request after a rejection.
BOOST_FIXTURE_TEST_CASE(ConnectionOfARejectionServesOtherRequests,
                        ServingFixture)
{
  std::atomic<int> requests = 0;
  FakeBackendServer server([&](FakeConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      if (++requests == 1) {
        aConnection.Send("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Request-Id: " +
                         aConnection.FindHeader("X-Request-Id") +
                         "\r\nContent-Length: 0\r\n\r\n");
      } else {
        aConnection.Answer(200, aConnection.FindHeader("X-Request-Id"));
      }
    }
  });
  SetTables(MakeTables());
  AddServer("s1", "desk", server);
  BOOST_TEST(Call(MakeRequest("/once/x")).status_ == 503U);
  const CallerAnswer other = Call(MakeRequest("/once/x", {}, "r2"));
  BOOST_TEST(other.status_ == 200U);
  BOOST_TEST(other.body_ == "r2");
  BOOST_TEST(server.CountConnections() == 1);
  BOOST_TEST(Call(MakeRequest("/once/x")).status_ == 200U);
  BOOST_TEST(server.CountConnections() == 2);
}

// Guards against a rejection that is attributed to the next request on its
// connection.
BOOST_FIXTURE_TEST_CASE(RejectionCopyOfAnotherRequestIsSkipped, ServingFixture)
{
  std::atomic<int> runs = 0;
  FakeBackendServer server([&](FakeConnection& aConnection) {
    std::string copy;
    while (!aConnection.ReadRequest().empty()) {
      const std::string id = aConnection.FindHeader("X-Request-Id");
      if (id == "r1") {
        copy = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Request-Id: r1\r\n"
               "Content-Length: 2\r\n\r\nno";
        aConnection.Send(copy);
        continue;
      }
      ++runs;
      aConnection.Send(std::exchange(copy, {}));
      aConnection.Answer(200, id);
    }
  });
  SetTables(MakeTables());
  AddServer("s1", "desk", server);
  BOOST_TEST(Call(MakeRequest("/once/x")).status_ == 503U);
  const CallerAnswer other = Call(MakeRequest("/once/x", {}, "r2"));
  BOOST_TEST(other.status_ == 200U);
  BOOST_TEST(other.body_ == "r2");
  BOOST_TEST(runs == 1);
}

namespace {

/** Responses without the id of a request. */
const std::array<std::string, 4> kUnidentifiedResponses{
  "HTTP/1.1 421 Other\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 408 Idle\r\nContent-Length: 0\r\n\r\n"
};

} // namespace

// Guards against a response of no known request that is taken for a rejection.
BOOST_DATA_TEST_CASE_F(ServingFixture,
                       ResponseWithoutIdOnAReusedConnectionProvesNothing,
                       boost::unit_test::data::make(kUnidentifiedResponses),
                       unidentified)
{
  std::atomic<int> runs = 0;
  FakeBackendServer server([&](FakeConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      const std::string id = aConnection.FindHeader("X-Request-Id");
      if (id == "r2") {
        ++runs;
        aConnection.Send(unidentified);
      }
      aConnection.Answer(200, id);
    }
  });
  SetTables(MakeTables());
  AddServer("s1", "desk", server);
  AddServer("s2", "desk", server);
  BOOST_TEST(Call(MakeRequest("/once/x")).status_ == 200U);
  const CallerAnswer response = Call(MakeRequest("/once/x", {}, "r2"));
  BOOST_TEST(server.CountConnections() == 1);
  BOOST_TEST(runs == 1);
  BOOST_TEST(response.status_ == 502U);
  BOOST_TEST(response.FindHeader("X-Azurecross-Verdict") == "may_have_run");
}

} // namespace azurecross

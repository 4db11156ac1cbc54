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

inline constexpr NameTable<CopyTime, 4> kCopyTimeNames{
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

std::ostream&
operator<<(std::ostream& aStream, FollowUp aFollowUp)
{
  return aStream << (aFollowUp == FollowUp::Answer ? "an answer" : "nothing");
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
/** With two ids, a copy that is believed leaves no further server, and the
 * caller is told that the request has not run. */
constexpr std::array kIdCounts{ 2, 3 };

} // namespace

// Guards against a copy of a rejection that is taken for the response to a
// further send of the same request, which then runs twice or after a refusal.
BOOST_DATA_TEST_CASE_F(ServingFixture,
                       RejectionCopyIsNotBelieved,
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

} // namespace azurecross

#include "EventQueue.h"
#include "TestPool.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <memory>
#include <vector>

namespace azurecross {

namespace {

using namespace std::chrono_literals;

/** What a cold server tolerates, and the most requests in any second. */
constexpr double kColdRate = 27.0;
constexpr double kMaxInSecond = 45.5;
const BackendServerId kServer("s");
const AvailabilityZone kZone("a");

/** Daemons that all have more requests for one cold server than it tolerates.
 */
class ColdServerLoad
{
public:
  explicit ColdServerLoad(int aDaemons)
  {
    std::vector<PermitPeer> members;
    for (int index = 0; index < aDaemons; ++index) {
      names_.push_back("d" + std::to_string(index));
      members.push_back({ names_.back(), kZone });
    }
    for (int index = 0; index < aDaemons; ++index) {
      limiters_.push_back(std::make_unique<ServerLimiter>(index * 1000));
      limiters_.back()->SetMembers(
        members[static_cast<std::size_t>(index)], members, now_);
    }
  }

  ServerLimiter& GetLimiter(std::size_t aDaemon) { return *limiters_[aDaemon]; }

  /** @returns the name of the daemon that issues the permits. */
  std::string FindIssuer()
  {
    ServerLimiter& asker = GetLimiter(0);
    asker.SetWarmUp(kServer, kColdRate, kMaxInSecond, 1s, now_);
    asker.Request(kServer, kZone, 0ms, now_);
    const auto messages = asker.TakeMessages();
    return messages.empty() ? names_.front() : messages.front().receiver_;
  }
  /** Stops the delivery of messages to and from a daemon. */
  void Silence(const std::string& aDaemon) { silent_ = aDaemon; }

  /** Plays 3 s in which each daemon sends whenever it may, every 10 ms.
   * @returns the times of the requests that reach the server. */
  std::vector<Time> Play()
  {
    std::vector<Time> sends;
    for (int step = 0; step < 300; ++step) {
      now_ += 10ms;
      for (std::size_t daemon = 0; daemon < limiters_.size(); ++daemon) {
        if (TrySend(*limiters_[daemon])) {
          sends.push_back(now_);
        }
      }
      Deliver();
    }
    return sends;
  }

  Time GetNow() const { return now_; }

private:
  bool TrySend(ServerLimiter& aLimiter)
  {
    const PermitStatus status = aLimiter.FindStatus(kServer, 1s, now_);
    if (status.state_ == PermitState::Obtainable && !status.isRequested_) {
      aLimiter.Request(kServer, kZone, 1s, now_);
    }
    const PermitState state = aLimiter.FindStatus(kServer, 1s, now_).state_;
    const bool isAllowed =
      state == PermitState::Held || state == PermitState::NotNeeded;
    if (isAllowed) {
      aLimiter.Use(kServer, kZone, now_);
    }
    aLimiter.Tick(1, now_);
    return isAllowed;
  }

  void Deliver()
  {
    for (bool hasMessages = true; hasMessages;) {
      hasMessages = false;
      for (const auto& sender : limiters_) {
        for (const PermitMessage& message : sender->TakeMessages()) {
          hasMessages = true;
          Deliver(message);
        }
      }
    }
  }

  void Deliver(const PermitMessage& aMessage)
  {
    for (std::size_t daemon = 0; daemon < names_.size(); ++daemon) {
      const bool isLost =
        aMessage.sender_ == silent_ || aMessage.receiver_ == silent_;
      if (names_[daemon] == aMessage.receiver_ && !isLost) {
        limiters_[daemon]->Handle(aMessage, now_);
      }
    }
  }

  Time now_ = kStart;
  std::string silent_;
  std::vector<std::string> names_;
  std::vector<std::unique_ptr<ServerLimiter>> limiters_;
};

/** @returns the most requests within any second up to a time. */
std::size_t
CountMostInSecond(const std::vector<Time>& aSends, Time aEnd)
{
  std::deque<Time> window;
  std::size_t most = 0;
  for (const Time send : aSends) {
    if (send >= aEnd) {
      break;
    }
    window.push_back(send);
    while (send - window.front() > 1s) {
      window.pop_front();
    }
    most = std::max(most, window.size());
  }
  return most;
}

} // namespace

// Guards against a flood of a cold server by all daemons at once, and against
// one that stands idle while it is cold.
BOOST_AUTO_TEST_CASE(ColdServerIsUsedWithinItsBound)
{
  constexpr std::size_t kDaemons = 78;
  ColdServerLoad load(kDaemons);
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    load.GetLimiter(daemon).SetWarmUp(
      kServer, kColdRate, kMaxInSecond, 10s, load.GetNow());
  }
  const std::vector<Time> sends = load.Play();
  BOOST_TEST(CountMostInSecond(sends, At(10)) <= kMaxInSecond);
  BOOST_TEST(static_cast<double>(sends.size()) >= 0.8 * 3.0 * kColdRate);
}

// Guards against a flood while the issuer of the permits is silent: daemons
// have to keep to the shares of the substitutes.
BOOST_AUTO_TEST_CASE(ColdServerIsProtectedWhileItsIssuerIsSilent)
{
  constexpr std::size_t kDaemons = 78;
  ColdServerLoad load(kDaemons);
  load.Silence(load.FindIssuer());
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    load.GetLimiter(daemon).SetWarmUp(
      kServer, kColdRate, kMaxInSecond, 10s, load.GetNow());
  }
  const std::vector<Time> sends = load.Play();
  BOOST_TEST(CountMostInSecond(sends, At(10)) <= kMaxInSecond);
  BOOST_TEST(!sends.empty());
}

// Guards against an issuer that does not know that the server is cold and
// grants permits without a limit: the requests for permits tell it.
BOOST_AUTO_TEST_CASE(IssuerLearnsOfColdServersFromRequests)
{
  constexpr std::size_t kDaemons = 20;
  ColdServerLoad load(kDaemons);
  const std::string issuer = load.FindIssuer();
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    if ("d" + std::to_string(daemon) != issuer) {
      load.GetLimiter(daemon).SetWarmUp(
        kServer, kColdRate, kMaxInSecond, 10s, load.GetNow());
    }
  }
  BOOST_TEST(CountMostInSecond(load.Play(), At(10)) <= kMaxInSecond);
}

// Guards against a limit that stays after the server has become warm.
BOOST_AUTO_TEST_CASE(WarmServersAreNotLimited)
{
  ServerLimiter limiter(1);
  BOOST_TEST(limiter.SetWarmUp(kServer, kColdRate, kMaxInSecond, 1s, kStart));
  BOOST_TEST(
    !limiter.SetWarmUp(kServer, kColdRate, kMaxInSecond, 500ms, At(0.1)));
  BOOST_TEST((limiter.FindStatus(kServer, 0ms, At(0.9)).state_ ==
              PermitState::Obtainable));
  BOOST_TEST((limiter.FindStatus(kServer, 0ms, At(1.1)).state_ ==
              PermitState::NotNeeded));
  limiter.Tick(0, At(1.1));
  BOOST_TEST(limiter.CountCold() == 0U);
}

// Guards against a remaining time that no server needs, which would limit a
// warm server for hours.
BOOST_AUTO_TEST_CASE(ExcessiveWarmUpTimesAreShortened)
{
  WarmUpTable table;
  table.Set(kServer, kColdRate, std::chrono::hours(5), kStart);
  const auto warmUp = table.Find(kServer, At(1));
  BOOST_REQUIRE(warmUp.has_value());
  BOOST_TEST((warmUp->until_ == kStart + WarmUpTable::kMaxTime));
  table.Forget(kServer);
  BOOST_TEST(!table.Find(kServer, At(1)).has_value());
}

} // namespace azurecross

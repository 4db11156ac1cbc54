#include "LimiterFleet.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

namespace {

using namespace std::chrono_literals;

/** What a cold server tolerates, and the most requests in any second. */
constexpr double kColdRate = 27.0;
constexpr double kMaxInSecond = 45.5;
constexpr std::size_t kDaemons = 78;
const BackendServerId kServer = LimiterFleet::kServer;

/** Makes the server cold for the daemons with these numbers. */
void
SetCold(LimiterFleet& aFleet, const std::function<bool(std::size_t)>& aKnows)
{
  for (std::size_t daemon = 0; daemon < aFleet.CountDaemons(); ++daemon) {
    if (aKnows(daemon)) {
      aFleet.GetLimiter(daemon).SetWarmUp(
        kServer, kColdRate, kMaxInSecond, 10s, aFleet.GetNow());
    }
  }
}

} // namespace

// Guards against a flood of a cold server by all daemons at once, and against
// one that stands idle while it is cold.
BOOST_AUTO_TEST_CASE(ColdServerIsUsedWithinItsBound)
{
  LimiterFleet fleet(kDaemons);
  SetCold(fleet, [](std::size_t) { return true; });
  const auto sends = fleet.Play(3s);
  BOOST_TEST(CountMostWithin(sends, 1s) <= kMaxInSecond);
  // Half of the rate is left to substitutes of the issuer.
  BOOST_TEST(static_cast<double>(sends.size()) >= 0.5 * 3.0 * kColdRate);
}

// Guards against a flood while the issuer of the permits is silent: daemons
// have to keep to the shares of the substitutes.
BOOST_AUTO_TEST_CASE(ColdServerIsProtectedWhileItsIssuerIsSilent)
{
  LimiterFleet fleet(kDaemons);
  fleet.Silence(fleet.FindIssuer());
  SetCold(fleet, [](std::size_t) { return true; });
  const auto sends = fleet.Play(3s);
  BOOST_TEST(CountMostWithin(sends, 1s) <= kMaxInSecond);
  BOOST_TEST(!sends.empty());
}

// Guards against an issuer that does not know that the server is cold and
// grants permits without a limit: the requests for permits tell it.
BOOST_AUTO_TEST_CASE(IssuerLearnsOfColdServersFromRequests)
{
  LimiterFleet fleet(kDaemons);
  const std::size_t issuer = fleet.FindIssuer();
  SetCold(fleet, [&](std::size_t aDaemon) { return aDaemon != issuer; });
  // The issuer itself sends without a limit until the first request arrives.
  fleet.Play(10ms);
  BOOST_TEST(CountMostWithin(fleet.Play(3s), 1s) <= kMaxInSecond);
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

#include "FleetSimulation.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

namespace {

/** Required share of first events in time (docs/design.md 1.7). */
constexpr double kMinimumShareInTime = 0.95;

} // namespace

// Guards against daemons that all place prompts on the engine that looked best
// in outdated reports. The load is 60 daemons with 56 generations per second on
// 40 engines of three speeds, a sixth of which is replaced every 3.3 s.
BOOST_AUTO_TEST_CASE(ShortGenerationsStartInTimeInALargeFleet)
{
  for (const std::uint64_t seed : { 1U, 2U, 3U }) {
    FleetConfig config;
    config.seed_ = seed;
    const FleetOutcome outcome = FleetSimulation(config).Simulate();
    BOOST_TEST_MESSAGE("seed " << seed << ": " << outcome.shortRequestsInTime_
                               << " of " << outcome.shortRequests_
                               << ", refused " << outcome.refused_);
    BOOST_TEST(outcome.shortRequests_ > 1000);
    BOOST_TEST(outcome.refused_ == 0);
    BOOST_TEST(outcome.GetShareInTime() >= kMinimumShareInTime);
  }
}

// Guards against reports after placements that no longer improve the share of
// requests in time. The baseline is the same load without these reports.
BOOST_AUTO_TEST_CASE(ReportsAfterPlacementsRaiseTheShareInTime)
{
  FleetConfig config;
  const FleetOutcome withReports = FleetSimulation(config).Simulate();
  config.reportsPlacements_ = false;
  const FleetOutcome withoutReports = FleetSimulation(config).Simulate();
  BOOST_TEST_MESSAGE("in time " << withReports.GetShareInTime() << ", without "
                                << withoutReports.GetShareInTime());
  BOOST_TEST(withReports.GetShareInTime() > withoutReports.GetShareInTime());
}

// Guards against reports after placements that exceed the message rate.
BOOST_AUTO_TEST_CASE(ReportRateLimiterBoundsMessages)
{
  ReportRateLimiter limiter(60.0, 120.0);
  std::size_t sent = 0;
  for (int placement = 0; placement < 1000; ++placement) {
    sent += limiter.TryTake(50, At(placement * 0.01)) ? 50 : 0;
  }
  // The upper limit is the burst size plus ten seconds at the average rate.
  BOOST_TEST(sent <= 720U);
  BOOST_TEST(sent >= 600U);
  BOOST_TEST(!ReportRateLimiter(60.0, 120.0).TryTake(800, At(0)));
}

} // namespace azurecross

#include "FleetLoad.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

namespace {

/** The part of first events that is to come in time (docs/design.md 1.7). */
constexpr double kInTime = 0.95;

} // namespace

// Guards against daemons that crowd prompts on the engine that looked best in
// old reports. The load: 60 daemons, 56 generations a second on 40 engines of
// three speeds, a sixth of them replaced every 3.3 s.
BOOST_AUTO_TEST_CASE(ShortGenerationsStartInTimeInALargeFleet)
{
  for (const std::uint64_t seed : { 1U, 2U, 3U }) {
    FleetLoad load;
    load.seed_ = seed;
    const FleetOutcome outcome = FleetPlay(load).Play();
    BOOST_TEST_MESSAGE("seed " << seed << ": " << outcome.shortsInTime_
                               << " of " << outcome.shorts_ << ", refused "
                               << outcome.refused_);
    BOOST_TEST(outcome.shorts_ > 1000);
    BOOST_TEST(outcome.refused_ == 0);
    BOOST_TEST(outcome.GetShare() >= kInTime);
  }
}

// Guards against a gain from reports after placements that is lost again: the
// callers of the same load without them are the baseline.
BOOST_AUTO_TEST_CASE(ReportsAfterPlacementsHelpCallers)
{
  FleetLoad load;
  const FleetOutcome told = FleetPlay(load).Play();
  load.reportsPlacements_ = false;
  const FleetOutcome untold = FleetPlay(load).Play();
  BOOST_TEST_MESSAGE("in time " << told.GetShare() << ", without "
                                << untold.GetShare());
  BOOST_TEST(told.GetShare() > untold.GetShare());
}

// Guards against more messages after placements than a daemon may send.
BOOST_AUTO_TEST_CASE(ReportBudgetBoundsMessages)
{
  ReportRateLimiter limiter(60.0, 120.0);
  std::size_t sent = 0;
  for (int placement = 0; placement < 1000; ++placement) {
    sent += limiter.TryTake(50, At(placement * 0.01)) ? 50 : 0;
  }
  // The initial allowance and ten seconds of the rate.
  BOOST_TEST(sent <= 720U);
  BOOST_TEST(sent >= 600U);
  BOOST_TEST(!ReportRateLimiter(60.0, 120.0).TryTake(800, At(0)));
}

} // namespace azurecross

#include "ArbiterFixture.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr double kFloorRate = 100.0;
/** Charged tokens per second of one lesser request. */
constexpr double kUnit = 40.0;

/** Runs urgent work at a rate and as much lesser work as is allowed. */
struct PacerRun
{
  /** @returns the busiest minute of this run. */
  double Run(double aUrgentRate, Duration aDuration)
  {
    const double step = ToSeconds(kTick);
    double used = 0.0;
    for (Duration spent{}; spent < aDuration; spent += kTick) {
      now_ += kTick;
      const auto lesser =
        static_cast<std::uint32_t>(pacer_.ComputeLesserSlots(kFloorRate, now_));
      pacer_.RecordUsage(Rank::Urgent, aUrgentRate * step);
      pacer_.RecordUsage(Rank::Lesser, lesser * kUnit * step);
      lesserTokens_ += lesser * kUnit * step;
      used += (aUrgentRate + lesser * kUnit) * step;
      pacer_.Tick(lesser, now_);
    }
    return used / ToSeconds(aDuration) * 60.0;
  }

  Pacer pacer_;
  Time now_{};
  double lesserTokens_ = 0.0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PacerTests)

// Guards against lesser work that raises the bill.
BOOST_AUTO_TEST_CASE(LesserStaysUnderPaidMinute)
{
  PacerRun run;
  run.pacer_.LoadPeak(60'000.0);
  const double minute = run.Run(400.0, std::chrono::minutes(3));
  BOOST_TEST(minute <= 60'000.0);
  BOOST_TEST(minute >= 50'000.0);
  BOOST_TEST(run.pacer_.GetPeak() == 60'000.0);
}

// Guards against lesser work that starves because nothing is paid for.
BOOST_AUTO_TEST_CASE(LesserKeepsFloorAboveThePeak)
{
  PacerRun run;
  run.Run(1000.0, std::chrono::minutes(2));
  BOOST_TEST(run.lesserTokens_ >= 0.6 * kFloorRate * 120.0);
  BOOST_TEST(run.pacer_.GetPeak() <= 1.02 * (1000.0 + kFloorRate) * 60.0);
}

// Guards against a peak from the store that lowers the known one.
BOOST_AUTO_TEST_CASE(LoadedPeakNeverFalls)
{
  ArbiterFixture fixture;
  fixture.arbiter_.LoadPeak(500.0);
  fixture.arbiter_.LoadPeak(300.0);
  BOOST_TEST(fixture.arbiter_.ExportPeak() == 500.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross

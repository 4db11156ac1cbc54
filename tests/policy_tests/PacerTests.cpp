#include "ArbiterFixture.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr double kFloorRate = 100.0;
/** Charged tokens per second of one running lesser request. */
constexpr double kLesserRequestRate = 40.0;

/** Simulates urgent requests at a fixed rate and as many lesser requests as the
 * pacer allows. */
struct PacerSimulation
{
  /** @returns the average tokens per minute of this simulation. */
  double Run(double aUrgentRate, Duration aDuration)
  {
    const double step = ToSeconds(kTick);
    double tokens = 0.0;
    for (Duration spent{}; spent < aDuration; spent += kTick) {
      now_ += kTick;
      const auto lesser =
        static_cast<std::uint32_t>(pacer_.ComputeLesserSlots(kFloorRate, now_));
      pacer_.RecordUsage(Rank::Urgent, aUrgentRate * step);
      pacer_.RecordUsage(Rank::Lesser, lesser * kLesserRequestRate * step);
      lesserTokens_ += lesser * kLesserRequestRate * step;
      tokens += (aUrgentRate + lesser * kLesserRequestRate) * step;
      pacer_.Tick(lesser, now_);
    }
    return tokens / ToSeconds(aDuration) * 60.0;
  }

  Pacer pacer_;
  Time now_{};
  double lesserTokens_ = 0.0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PacerTests)

// Guards against lesser requests that raise the billed peak minute.
BOOST_AUTO_TEST_CASE(LesserRequestsStayBelowThePeak)
{
  PacerSimulation simulation;
  simulation.pacer_.LoadPeak(60'000.0);
  const double tokensPerMinute = simulation.Run(400.0, std::chrono::minutes(3));
  BOOST_TEST(tokensPerMinute <= 60'000.0);
  BOOST_TEST(tokensPerMinute >= 50'000.0);
  BOOST_TEST(simulation.pacer_.GetPeak() == 60'000.0);
}

// Guards against starvation of lesser requests when urgent requests alone reach
// the peak.
BOOST_AUTO_TEST_CASE(LesserRequestsKeepTheirFloorRate)
{
  PacerSimulation simulation;
  simulation.Run(1000.0, std::chrono::minutes(2));
  BOOST_TEST(simulation.lesserTokens_ >= 0.6 * kFloorRate * 120.0);
  BOOST_TEST(simulation.pacer_.GetPeak() <=
             1.02 * (1000.0 + kFloorRate) * 60.0);
}

// Guards against a stored peak that lowers the current one.
BOOST_AUTO_TEST_CASE(LoadingNeverLowersThePeak)
{
  ArbiterFixture fixture;
  fixture.arbiter_.RestoreBusiestMinuteTokens(500.0);
  fixture.arbiter_.RestoreBusiestMinuteTokens(300.0);
  BOOST_TEST(fixture.arbiter_.GetBusiestMinuteTokens() == 500.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross

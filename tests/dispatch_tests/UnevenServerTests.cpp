#include "TestPool.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace azurecross {

namespace {

constexpr Duration kGapTarget = std::chrono::milliseconds(180);
/** Time per output token of a fast and of a slow engine. */
constexpr double kFastSeconds = 0.0075;
constexpr double kSlowSeconds = 0.0098;
/** A stream of a disturbed engine takes so much longer. */
constexpr double kDisturbance = 5.6;

/** A daemon with a fast engine "fast" and a slow one "slow", which has streamed
 * from both for some seconds. One event in 20 was disturbed. */
struct UnevenFixture
{
  ServerLoadTracker tracker_;
  ServerLimiter limiter_{ 1 };
  ServerPlacement placement_{ AvailabilityZone("a"), 1 };

  explicit UnevenFixture(bool aPacesPrompts = true)
  {
    EngineTraits traits = MakeTraits();
    traits.pacesPrompts_ = aPacesPrompts;
    tracker_.Update(MakeEngine("fast"), traits, kStart);
    tracker_.Update(MakeEngine("slow"), traits, kStart);
    Stream("fast", kFastSeconds);
    Stream("slow", kSlowSeconds);
  }

  void Stream(const std::string& aEngine, double aSecondsPerToken)
  {
    constexpr std::uint32_t kEvents = 400;
    constexpr std::uint32_t kTokensPerEvent = 4;
    const RunId run = StartGeneration(tracker_, aEngine, 100);
    double seconds = 0.0;
    for (std::uint32_t event = 2; event <= kEvents; ++event) {
      const bool isDisturbed = event % 20 == 0;
      seconds +=
        kTokensPerEvent * aSecondsPerToken * (isDisturbed ? kDisturbance : 1.0);
      tracker_.ObserveEvent(run, event * kTokensPerEvent, At(seconds));
    }
    tracker_.Finish(run, RunOutcome::Completed, At(seconds));
  }

  PlacementRequest MakeStream(std::uint32_t aOutputLimit) const
  {
    PlacementRequest request = MakeGeneration(500);
    request.route_ = RouteName(aOutputLimit > 100 ? "long" : "short");
    request.demand_.outputLimit_ = aOutputLimit;
    request.gapTarget_ = kGapTarget;
    request.timeToTarget_ = std::chrono::seconds(2);
    return request;
  }

  std::string Choose(const PlacementRequest& aRequest)
  {
    const auto choice = placement_.Choose(tracker_, limiter_, aRequest, At(15));
    return choice ? choice->server_.GetValue() : "";
  }
};

} // namespace

// Guards against long streams on engines that can't keep the longest gap when
// they are disturbed, while engines that can have room.
BOOST_AUTO_TEST_CASE(LongStreamsAvoidEnginesWithLongGaps)
{
  UnevenFixture fixture;
  for (int stream = 0; stream < 4; ++stream) {
    BOOST_TEST(fixture.Choose(fixture.MakeStream(800)) == "fast");
    StartGeneration(fixture.tracker_, "fast", 500, At(15));
  }
}

// Guards against short streams that take the room of engines which long ones
// need.
BOOST_AUTO_TEST_CASE(ShortStreamsUseEnginesWithLongGaps)
{
  UnevenFixture fixture;
  BOOST_TEST(fixture.Choose(fixture.MakeStream(8)) == "slow");
}

// Guards against streams that wait although a slow engine is free: late by a
// gap is better than not at all.
BOOST_AUTO_TEST_CASE(FullFastEnginesDontBlockLongStreams)
{
  UnevenFixture fixture;
  for (int stream = 0; stream < 8; ++stream) {
    StartGeneration(fixture.tracker_, "fast", 500, At(15));
  }
  BOOST_TEST(fixture.Choose(fixture.MakeStream(800)) == "slow");
}

// Guards against a changed placement in deployments that don't ask for it.
BOOST_AUTO_TEST_CASE(GapsDontCountWithoutResumableStreams)
{
  UnevenFixture fixture(false);
  BOOST_TEST(!fixture.tracker_
                .PredictLongestGap(
                  *fixture.tracker_.Find(BackendServerId("slow")), At(15))
                .has_value());
  BOOST_TEST(fixture.tracker_.GetOwnPaces(At(15)).empty());
}

// Guards against an estimate that a busy or disturbed time makes worse, and
// against one that stays after the engine was replaced.
BOOST_AUTO_TEST_CASE(FastestPaceIgnoresDisturbances)
{
  TokenPace pace;
  BOOST_TEST(!pace.Find(kStart).has_value());
  pace.Observe(0.02, kStart);
  pace.Observe(0.008, At(1));
  pace.Observe(0.03, At(9));
  BOOST_TEST(pace.Find(At(9)).value() == 0.008);
  pace.Observe(0.02, At(11));
  BOOST_TEST(pace.Find(At(12)).value() == 0.008);
  BOOST_TEST(pace.Find(At(25)).value() == 0.02);
  BOOST_TEST(!pace.Find(At(60)).has_value());
}

// Guards against a ratio that follows the usual gaps instead of the disturbed
// ones, or that a few gaps decide.
BOOST_AUTO_TEST_CASE(DisturbedRatioFollowsTheLongestGaps)
{
  StallStatistics stalls;
  stalls.Observe(6.0, kStart);
  BOOST_TEST(stalls.GetDisturbedRatio().weight_ == 0.0);
  for (int gap = 0; gap < 1000; ++gap) {
    stalls.Observe(gap % 50 == 0 ? 6.0 : 1.2, At(gap * 0.001));
  }
  const double ratio = stalls.GetDisturbedRatio().GetMean(1.0, 0.0);
  BOOST_TEST(ratio >= 5.5);
  BOOST_TEST(ratio <= 6.5);
}

// Guards against calls that are refused because old reports say that all slots
// are taken, and against calls that are sent where they can't be in time.
BOOST_AUTO_TEST_CASE(CallsQueueAtServersThatLookFull)
{
  ServerLoadTracker tracker;
  tracker.Update(MakeService("s"), std::nullopt, kStart);
  const auto setRuns = [&](std::uint32_t aRuns) {
    tracker.SetPeerUsage(
      "peer", { { BackendServerId("s"), aRuns, 0.0, 0.0 } }, kStart);
  };
  ServerLimiter limiter(1);
  ServerPlacement placement(AvailabilityZone("a"), 1);
  PlacementRequest call = MakeCall();
  call.timeToTarget_ = std::chrono::milliseconds(300);
  const auto isSent = [&] {
    return placement.Choose(tracker, limiter, call, kStart).has_value();
  };
  setRuns(2);
  BOOST_TEST(!isSent());
  call.mayQueueAtServer_ = true;
  BOOST_TEST(isSent());
  setRuns(6);
  BOOST_TEST(!isSent());
  setRuns(3);
  call.timeToTarget_ = std::chrono::milliseconds(20);
  BOOST_TEST(isSent());
  setRuns(4);
  BOOST_TEST(!isSent());
}

} // namespace azurecross

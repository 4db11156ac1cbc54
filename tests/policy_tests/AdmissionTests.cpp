#include "ArbiterFixture.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

namespace azurecross {

BOOST_AUTO_TEST_SUITE(AdmissionTests)

// Guards against a predicted length that doesn't rise once a generation exceeds
// it.
BOOST_AUTO_TEST_CASE(PredictedLengthRisesWithProgress)
{
  LengthPredictor predictor;
  const auto index =
    predictor.FindOrAddClass(RouteName("r"), ModelName("m"), CustomerId("c"));
  for (int count = 0; count < 500; ++count) {
    const std::uint32_t length = count % 10 == 0 ? 5000 : 100;
    predictor.ObserveGrowth(index, 0, length);
    predictor.ObserveCompletion(index, length);
  }
  BOOST_TEST(predictor.PredictSurvival(index, 0, 400) < 0.2);
  BOOST_TEST(predictor.PredictSurvival(index, 400, 4000) > 0.8);
  BOOST_TEST(predictor.PredictLength(index, 0, 0) < 1500.0);
  BOOST_TEST(predictor.PredictLength(index, 400, 0) > 3500.0);
  BOOST_TEST(predictor.PredictLength(index, 400, 500) <= 500.0);
}

// Guards against long generations that are not counted until they end.
BOOST_AUTO_TEST_CASE(RunningGenerationsAreCensoredObservations)
{
  LengthPredictor predictor;
  const auto index =
    predictor.FindOrAddClass(RouteName("r"), ModelName("m"), CustomerId("c"));
  const double before = predictor.PredictSurvival(index, 0, 2000);
  for (int count = 0; count < 200; ++count) {
    predictor.ObserveGrowth(index, 0, 2900);
  }
  BOOST_TEST(predictor.PredictSurvival(index, 0, 2000) > before);
  BOOST_TEST(predictor.PredictSurvival(index, 0, 2000) > 0.8);
}

// Guards against a batch limit that ignores an engine's real speed.
BOOST_AUTO_TEST_CASE(LimitFollowsSpeed)
{
  const auto learn = [](double aBase, double aPerRequest) {
    BackendServerModel model(std::chrono::milliseconds(37));
    model.SetDescription(ArbiterFixture::MakeEngine("s"));
    for (int step = 0; step < 4000; ++step) {
      if (model.GetRunning() < model.GetLimit(Rank::Urgent)) {
        model.AddRequest(Rank::Urgent, {});
      } else {
        model.RemoveRequest(Rank::Urgent, {});
      }
      model.ObserveGap(FromSeconds(aBase + aPerRequest * model.GetRunning()));
    }
    return model.GetLimit(Rank::Urgent);
  };
  const std::uint32_t fast = learn(0.008, 0.0005);
  const std::uint32_t slow = learn(0.016, 0.001);
  BOOST_TEST(fast > 35U);
  BOOST_TEST(fast <= 44U);
  BOOST_TEST(slow < 16U);
  BOOST_TEST(slow > 9U);
}

// Guards against admission by present memory use, which fills the memory while
// requests decode.
BOOST_AUTO_TEST_CASE(AdmissionUsesPredictedMemory)
{
  BackendServerModel model(std::chrono::milliseconds(37));
  auto description = ArbiterFixture::MakeEngine("s");
  description.memoryTokens_ = 10'000;
  model.SetDescription(description);
  MemoryForecast growing;
  growing.mean_[0] = 100.0;
  growing.mean_[7] = 2100.0;
  int admitted = 0;
  while (admitted < 100 && model.HasMemoryFor(growing, Rank::Urgent)) {
    model.AddRequest(Rank::Urgent, growing);
    ++admitted;
  }
  BOOST_TEST(admitted == 4);
}

// Guards against memory that stays idle because a few long generations make the
// far horizons uncertain.
BOOST_AUTO_TEST_CASE(FarHorizonsDoNotBlockShortRequests)
{
  BackendServerModel model(std::chrono::milliseconds(37));
  model.SetDescription(ArbiterFixture::MakeEngine("s"));
  MemoryForecast longForecast;
  longForecast.mean_.fill(10'000.0);
  longForecast.mean_.back() = 60'000.0;
  longForecast.variance_.back() = 1e9;
  model.AddRequest(Rank::Lesser, longForecast);
  MemoryForecast shortForecast;
  shortForecast.mean_[0] = 500.0;
  shortForecast.mean_[1] = 300.0;
  BOOST_TEST(model.HasMemoryFor(shortForecast, Rank::Urgent));
  BOOST_TEST(!model.HasMemoryFor(longForecast, Rank::Urgent));
}

// Guards against a correction that feeds back into itself, and against waits of
// one rank that affect the other rank.
BOOST_AUTO_TEST_CASE(WaitCorrectionConvergesForEachRank)
{
  WaitEstimator estimator;
  for (int count = 0; count < 2000; ++count) {
    estimator.ObserveWait(Rank::Lesser, 10.0, 15.0);
  }
  BOOST_TEST(std::abs(estimator.GetCorrection(Rank::Lesser) - 1.5) < 0.01);
  BOOST_TEST(estimator.GetCorrection(Rank::Urgent) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross

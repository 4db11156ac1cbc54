#include "OperationWorld.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace azurecross {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

WorldFaults
MakeHeavyFaults()
{
  WorldFaults faults;
  faults.messageLoss_ = 0.15;
  faults.messageRepeat_ = 0.2;
  faults.storeLoss_ = 0.2;
  faults.storeOutage_ = 0.002;
  faults.pause_ = 0.001;
  faults.crash_ = 0.0005;
  faults.plannedStop_ = 0.002;
  faults.partition_ = 0.001;
  faults.concurrentRepeat_ = 0.4;
  faults.longestDelay_ = milliseconds(600);
  return faults;
}

/** A rate of 0, or one drawn up to the given number of thousandths. */
double
DrawRate(int aThousandths)
{
  return *rc::gen::inRange(0, aThousandths + 1) / 1000.0;
}

WorldFaults
DrawFaults()
{
  WorldFaults faults;
  faults.messageLoss_ = DrawRate(300);
  faults.messageRepeat_ = DrawRate(300);
  faults.storeLoss_ = DrawRate(300);
  faults.storeOutage_ = DrawRate(3);
  faults.pause_ = DrawRate(2);
  faults.crash_ = DrawRate(1);
  faults.plannedStop_ = DrawRate(3);
  faults.partition_ = DrawRate(2);
  faults.concurrentRepeat_ = DrawRate(600);
  faults.longestDelay_ = milliseconds(*rc::gen::inRange(1, 1500));
  return faults;
}

std::string
Join(const std::vector<std::string>& aTexts)
{
  std::string joined;
  for (const std::string& text : aTexts) {
    joined += text + "; ";
  }
  return joined;
}

} // namespace

// Guards against a second run, a false `not_run`, a false `ran` and a wrong
// replay, whatever is lost, repeated, reordered, paused or cut off.
BOOST_AUTO_TEST_CASE(PromisesHoldInRandomWorlds)
{
  BOOST_TEST(rc::check("at most one run", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto entries = *rc::gen::inRange<std::size_t>(2, 4);
    OperationWorld world(seed, entries, DrawFaults());
    world.Play(12, seconds(25));
    world.Settle(seconds(15));
    if (!world.GetViolations().empty()) {
      RC_FAIL(Join(world.GetViolations()));
    }
  }));
}

// Guards against a property that holds only because nothing happens, and
// against rare faults that the drawn worlds seldom combine.
BOOST_AUTO_TEST_CASE(PromisesHoldUnderHeavyFaults)
{
  int runs = 0;
  int replays = 0;
  int notRun = 0;
  int mayHaveRun = 0;
  constexpr std::uint64_t kWorlds = 150;
  for (std::uint64_t seed = 0; seed < kWorlds; ++seed) {
    OperationWorld world(seed, 2 + seed % 2, MakeHeavyFaults());
    world.Play(12, seconds(25));
    world.Settle(seconds(15));
    BOOST_TEST(world.GetViolations().empty(),
               "seed " << seed << ": " << Join(world.GetViolations()));
    runs += world.CountRuns();
    replays += world.CountReplays();
    notRun += world.CountRefusals(Verdict::NotRun);
    mayHaveRun += world.CountRefusals(Verdict::MayHaveRun);
  }
  BOOST_TEST_MESSAGE("runs " << runs << ", replays " << replays << ", not_run "
                             << notRun << ", may_have_run " << mayHaveRun);
  BOOST_TEST(runs > 500);
  BOOST_TEST(replays > 200);
  BOOST_TEST(notRun > 20);
  BOOST_TEST(mayHaveRun > 100);
}

// Guards against refusals and lost work without any fault.
BOOST_AUTO_TEST_CASE(EveryOperationRunsInACalmWorld)
{
  OperationWorld world(1, 3, WorldFaults{});
  world.Play(200, seconds(60));
  BOOST_TEST(world.GetViolations().empty());
  BOOST_TEST(world.CountRefusals(Verdict::NotRun) == 0);
  // An attempt that saw an outcome `MayHaveRun` is answered so ever after.
  BOOST_TEST(world.CountRuns() >= 150);
  BOOST_TEST(world.CountReplays() >= 100);
}

} // namespace azurecross

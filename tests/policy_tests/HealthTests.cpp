#include "ArbiterFixture.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(250);

/** Drives the tracker with one gap per backend server and step. */
struct HealthRun
{
  explicit HealthRun(std::size_t aServers)
    : gaps_(aServers, std::chrono::milliseconds(20))
  {
    health_.SetServerCounts(aServers, aServers);
  }

  void Run(Duration aDuration)
  {
    for (Duration spent{}; spent < aDuration; spent += kStep) {
      now_ += kStep;
      for (std::uint32_t index = 0; index < gaps_.size(); ++index) {
        health_.SetRunning(index, 4, 4);
        for (int stream = 0; stream < 4 && gaps_[index] > Duration::zero();
             ++stream) {
          health_.ObserveTokenGap(index, gaps_[index], 4, now_);
        }
      }
      health_.Tick(now_, changes_);
    }
  }

  std::size_t CountEjected() const
  {
    std::size_t count = 0;
    for (std::uint32_t index = 0; index < gaps_.size(); ++index) {
      count += health_.IsEjected(index) ? 1 : 0;
    }
    return count;
  }

  HealthTracker health_;
  std::vector<Duration> gaps_;
  std::vector<HealthTracker::Change> changes_;
  Time now_{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(HealthTests)

// Guards against work for an engine that has become slow, and against one
// that never gets work again after it has recovered.
BOOST_AUTO_TEST_CASE(SlowServerIsEjectedAndReadmitted)
{
  HealthRun run(4);
  run.Run(std::chrono::seconds(30));
  BOOST_TEST(run.CountEjected() == 0U);
  run.gaps_[2] = std::chrono::milliseconds(100);
  run.Run(std::chrono::seconds(3));
  BOOST_TEST(run.health_.IsEjected(2));
  run.Run(std::chrono::seconds(60));
  BOOST_TEST(run.health_.IsEjected(2));
  run.gaps_[2] = std::chrono::milliseconds(20);
  run.Run(std::chrono::seconds(10));
  BOOST_TEST(!run.health_.IsEjected(2));
}

// Guards against a stalled engine, which reports no gaps at all.
BOOST_AUTO_TEST_CASE(StalledServerIsEjected)
{
  HealthRun run(4);
  run.Run(std::chrono::seconds(10));
  run.gaps_[1] = Duration::zero();
  run.Run(std::chrono::seconds(3));
  BOOST_TEST(run.health_.IsEjected(1));
  BOOST_TEST(run.CountEjected() == 1U);
}

// Guards against a fault of all engines that leaves none in use.
BOOST_AUTO_TEST_CASE(AtMostAThirdIsEjected)
{
  HealthRun run(7);
  run.Run(std::chrono::seconds(10));
  for (Duration& gap : run.gaps_) {
    gap = Duration::zero();
  }
  run.Run(std::chrono::seconds(5));
  BOOST_TEST(run.CountEjected() == 2U);
  BOOST_TEST(run.health_.IsSuspect(6));
}

// Guards against a readmitted engine that is filled at once.
BOOST_AUTO_TEST_CASE(ReadmissionIsGradual)
{
  HealthRun run(3);
  run.Run(std::chrono::seconds(10));
  run.health_.ObserveUnreachable(0, run.now_);
  run.health_.SetRunning(0, 0, 0);
  run.health_.Tick(run.now_, run.changes_);
  BOOST_TEST(run.health_.IsEjected(0));
  while (run.health_.IsEjected(0)) {
    run.Run(kStep);
  }
  BOOST_TEST(run.health_.GetReadmissionLimit(0) == 1U);
  run.Run(std::chrono::seconds(2));
  BOOST_TEST(run.health_.GetReadmissionLimit(0) > 1U);
  BOOST_TEST(run.health_.GetReadmissionLimit(0) < 10U);
  run.Run(std::chrono::seconds(10));
  BOOST_TEST(run.health_.GetReadmissionLimit(0) == UINT32_MAX);
}

// Guards against an arbiter that grants slots of an unreachable server.
BOOST_FIXTURE_TEST_CASE(ArbiterEjectsUnreachableServer, ArbiterFixture)
{
  arbiter_.SetBackendServers(
    { MakeService("s1", 4), MakeService("s2", 4), MakeService("s3", 4) },
    now_,
    actions_);
  arbiter_.Enqueue(MakeCall("a"), now_, actions_);
  const auto grants = Take<GrantAction>();
  BOOST_REQUIRE(grants.size() == 1U);
  const BackendServerId failed = grants[0].backendServer_;
  arbiter_.Release(grants[0].grant_, GrantOutcome::Unreachable, now_, actions_);
  arbiter_.Tick(Advance(std::chrono::milliseconds(100)), actions_);
  const auto ejected = Take<EjectAction>();
  BOOST_REQUIRE(ejected.size() == 1U);
  BOOST_TEST(ejected[0].backendServer_ == failed);
  for (int index = 0; index < 8; ++index) {
    arbiter_.Enqueue(MakeCall("b" + std::to_string(index)), now_, actions_);
  }
  for (const GrantAction& grant : Take<GrantAction>()) {
    BOOST_TEST(grant.backendServer_ != failed);
  }
}

// Guards against retries that multiply the load when everything fails.
BOOST_AUTO_TEST_CASE(RetriesAreAFractionOfSuccesses)
{
  RetryBudget budget(1);
  Time now{};
  for (int count = 0; count < 100; ++count) {
    budget.RecordSuccess(now);
  }
  int allowed = 0;
  Duration longest{};
  while (const auto delay = budget.TakeRetry(10, now)) {
    longest = std::max(longest, *delay);
    ++allowed;
  }
  BOOST_TEST(allowed >= 10);
  BOOST_TEST(allowed <= 13);
  BOOST_TEST((longest <= std::chrono::seconds(4)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross

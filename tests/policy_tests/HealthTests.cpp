#include "ArbiterFixture.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {
namespace {

constexpr Duration kReportInterval = std::chrono::milliseconds(250);

/** Feeds the tracker with the token gap of each backend server at fixed
 * intervals. */
struct HealthSimulation
{
  explicit HealthSimulation(std::size_t aServers)
    : gaps_(aServers, std::chrono::milliseconds(20))
  {
    health_.SetServerCounts(aServers, aServers);
  }

  void Run(Duration aDuration)
  {
    for (Duration spent{}; spent < aDuration; spent += kReportInterval) {
      now_ += kReportInterval;
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

// Guards against requests to a slow engine, and against an engine that receives
// no requests after it has recovered.
BOOST_AUTO_TEST_CASE(SlowServerIsEjectedAndReadmitted)
{
  HealthSimulation simulation(4);
  simulation.Run(std::chrono::seconds(30));
  BOOST_TEST(simulation.CountEjected() == 0U);
  simulation.gaps_[2] = std::chrono::milliseconds(100);
  simulation.Run(std::chrono::seconds(3));
  BOOST_TEST(simulation.health_.IsEjected(2));
  simulation.Run(std::chrono::seconds(60));
  BOOST_TEST(simulation.health_.IsEjected(2));
  simulation.gaps_[2] = std::chrono::milliseconds(20);
  simulation.Run(std::chrono::seconds(10));
  BOOST_TEST(!simulation.health_.IsEjected(2));
}

// Guards against a stalled engine that stays in use because it reports no token
// gaps.
BOOST_AUTO_TEST_CASE(StalledServerIsEjected)
{
  HealthSimulation simulation(4);
  simulation.Run(std::chrono::seconds(10));
  simulation.gaps_[1] = Duration::zero();
  simulation.Run(std::chrono::seconds(3));
  BOOST_TEST(simulation.health_.IsEjected(1));
  BOOST_TEST(simulation.CountEjected() == 1U);
}

// Guards against a common failure of all engines that leaves none in use.
BOOST_AUTO_TEST_CASE(AtMostAThirdIsEjected)
{
  HealthSimulation simulation(7);
  simulation.Run(std::chrono::seconds(10));
  for (Duration& gap : simulation.gaps_) {
    gap = Duration::zero();
  }
  simulation.Run(std::chrono::seconds(5));
  BOOST_TEST(simulation.CountEjected() == 2U);
  BOOST_TEST(simulation.health_.IsSuspect(6));
}

// Guards against a readmitted engine that receives its full load at once.
BOOST_AUTO_TEST_CASE(ReadmissionIsGradual)
{
  HealthSimulation simulation(3);
  simulation.Run(std::chrono::seconds(10));
  simulation.health_.ObserveUnreachable(0, simulation.now_);
  simulation.health_.SetRunning(0, 0, 0);
  simulation.health_.Tick(simulation.now_, simulation.changes_);
  BOOST_TEST(simulation.health_.IsEjected(0));
  while (simulation.health_.IsEjected(0)) {
    simulation.Run(kReportInterval);
  }
  BOOST_TEST(simulation.health_.GetReadmissionLimit(0) == 1U);
  simulation.Run(std::chrono::seconds(2));
  BOOST_TEST(simulation.health_.GetReadmissionLimit(0) > 1U);
  BOOST_TEST(simulation.health_.GetReadmissionLimit(0) < 10U);
  simulation.Run(std::chrono::seconds(10));
  BOOST_TEST(simulation.health_.GetReadmissionLimit(0) == UINT32_MAX);
}

// Guards against grants for an unreachable backend server.
BOOST_FIXTURE_TEST_CASE(ArbiterEjectsUnreachableServer, ArbiterFixture)
{
  arbiter_.SetBackendServers(
    { MakeService("s1", 4), MakeService("s2", 4), MakeService("s3", 4) },
    now_,
    actions_);
  arbiter_.Enqueue(MakeServiceRequest("a"), now_, actions_);
  const auto grants = TakeActions<GrantAction>();
  BOOST_REQUIRE(grants.size() == 1U);
  const BackendServerId failed = grants[0].backendServer_;
  arbiter_.Release(grants[0].grant_, GrantOutcome::Unreachable, now_, actions_);
  arbiter_.Tick(Advance(std::chrono::milliseconds(100)), actions_);
  const auto ejected = TakeActions<EjectAction>();
  BOOST_REQUIRE(ejected.size() == 1U);
  BOOST_TEST(ejected[0].backendServer_ == failed);
  for (int index = 0; index < 8; ++index) {
    arbiter_.Enqueue(
      MakeServiceRequest("b" + std::to_string(index)), now_, actions_);
  }
  for (const GrantAction& grant : TakeActions<GrantAction>()) {
    BOOST_TEST(grant.backendServer_ != failed);
  }
}

// Guards against retries that multiply the load when all requests fail.
BOOST_AUTO_TEST_CASE(RetriesAreLimitedToAFractionOfSuccesses)
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

#include "LimiterFleet.h"

#include <boost/test/unit_test.hpp>

namespace azurecross {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kDaemons = 131;
constexpr double kPromptsPerSecond = 5.0;

/** @returns daemons that all wait for one engine, which reads this many prompts
 * a second. */
LimiterFleet
MakePacedFleet()
{
  LimiterFleet fleet(kDaemons);
  fleet.ForEach([](ServerLimiter& aLimiter) {
    aLimiter.SetPaces({ { LimiterFleet::kServer, kPromptsPerSecond } });
  });
  return fleet;
}

} // namespace

// Guards against prompts that queue for seconds on an engine that has just
// registered, because all daemons with waiting requests send to it at once.
BOOST_AUTO_TEST_CASE(NewEngineGetsPromptsAtItsPace)
{
  LimiterFleet fleet = MakePacedFleet();
  const auto sends = fleet.Play(4s);
  BOOST_TEST(CountMostWithin(sends, 100ms) <= 3U);
  BOOST_TEST(CountMostWithin(sends, 1s) <= 1.4 * kPromptsPerSecond);
  // The engine is kept busy.
  BOOST_TEST(static_cast<double>(sends.size()) >=
             0.8 * 4.0 * kPromptsPerSecond);
}

// Guards against lesser work that starts at one daemon while urgent work waits
// at others for the same engine, and against lesser work that starves.
BOOST_AUTO_TEST_CASE(UrgentPromptsOfAllDaemonsComeFirst)
{
  LimiterFleet fleet = MakePacedFleet();
  constexpr int kLateRank = 101;
  for (std::size_t daemon = 0; daemon < kDaemons; daemon += 2) {
    fleet.SetRank(daemon, kLateRank);
  }
  const auto sends = fleet.Play(20s);
  const auto lesser = static_cast<double>(
    std::count_if(sends.begin(), sends.end(), [](const LimitedSend& aSend) {
      return aSend.daemon_ % 2 == 0;
    }));
  const auto total = static_cast<double>(sends.size());
  BOOST_TEST(lesser <= 0.25 * total);
  BOOST_TEST(lesser >= 0.05 * total);
  BOOST_TEST(total >= 0.8 * 20.0 * kPromptsPerSecond);
}

// Guards against a free engine that waits for urgent work that no daemon has
// any more.
BOOST_AUTO_TEST_CASE(ReservedSlotsAreReleasedSoon)
{
  PermitIssuer issuer;
  const BackendServerId& server = LimiterFleet::kServer;
  BOOST_TEST(issuer.IssueByRank(server, 2.0, 505, kStart).isGranted_);
  BOOST_TEST(issuer.IssueByRank(server, 2.0, 505, At(0.01)).isGranted_ ==
             false);
  BOOST_TEST(issuer.IssueByRank(server, 2.0, 0, At(0.02)).isGranted_ == false);
  // Free again, but kept for the urgent request.
  BOOST_TEST(issuer.IssueByRank(server, 2.0, 505, At(0.51)).isGranted_ ==
             false);
  BOOST_TEST(issuer.IssueByRank(server, 2.0, 505, At(0.6)).isGranted_);
}

// Guards against a pace for engines of deployments that don't ask for it, and
// against one that starves an engine after a long queue.
BOOST_AUTO_TEST_CASE(PacesAreSetForEnginesThatAskForThem)
{
  ServerLoadTracker tracker;
  AddEngine(tracker, "plain");
  EngineTraits traits = MakeTraits();
  traits.pacesPrompts_ = true;
  tracker.Update(MakeEngine("paced"), traits, kStart);
  ServerLimiter limiter(1);
  PromptPacer::Update(tracker, limiter);
  BOOST_TEST(
    (limiter.FindStatus(BackendServerId("plain"), 0ms, kStart).state_ ==
     PermitState::NotNeeded));
  BOOST_TEST(
    (limiter.FindStatus(BackendServerId("paced"), 0ms, kStart).state_ ==
     PermitState::Obtainable));
  const ServerLoad& engine = *tracker.Find(BackendServerId("paced"));
  BOOST_TEST(PromptPacer::ComputeRate(engine, 1e6) >= 1.0);
  BOOST_TEST(PromptPacer::ComputeRate(engine, 1.0) <= 50.0);
}

} // namespace azurecross

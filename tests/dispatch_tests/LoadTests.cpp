#include "TestPool.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>
#include <vector>

namespace azurecross {

// Guards against load that stays counted after its runs have ended.
BOOST_AUTO_TEST_CASE(LoadFollowsTheRuns)
{
  ServerLoadTracker tracker;
  AddEngine(tracker, "e1");
  const RunId run = tracker.Start({ BackendServerId("e1"),
                                    RouteName("plan"),
                                    CustomerId("c"),
                                    CallKind::Generation,
                                    MakeGeneration(3000).demand_,
                                    0,
                                    At(0) });
  const ServerLoad* load = tracker.Find(BackendServerId("e1"));
  BOOST_TEST(load->GetPendingPromptTokens() == 3000.0);
  BOOST_TEST(load->GetMemoryTokens() > 3000.0);
  tracker.ObserveEvent(run, 4, At(0.4));
  BOOST_TEST(load->GetPendingPromptTokens() == 0.0);
  tracker.Finish(run, RunOutcome::Completed, At(1));
  BOOST_TEST(load->GetRuns() == 0U);
  BOOST_TEST(load->GetMemoryTokens() == 0.0);
}

// Guards against an engine that is avoided because a caller states more cached
// tokens than its prompt has.
BOOST_AUTO_TEST_CASE(ContradictoryPromptLengthsAddNoLoad)
{
  ServerLoadTracker tracker;
  AddEngine(tracker, "e1");
  PlacementRequest request = MakeGeneration(10);
  request.demand_.prefixHashes_ = { 1 };
  request.demand_.prefixTokens_ = { 3000 };
  for (int run = 0; run < 2; ++run) {
    tracker.Start({ BackendServerId("e1"),
                    RouteName("plan"),
                    CustomerId("c"),
                    CallKind::Generation,
                    request.demand_,
                    0,
                    At(run) });
  }
  const ServerLoad* load = tracker.Find(BackendServerId("e1"));
  BOOST_TEST(load->GetPendingPromptTokens() <= 20.0);
}

// Guards against peer totals that drift from the latest reports as reports
// replace each other and servers are added and removed.
BOOST_AUTO_TEST_CASE(PeerTotalsMatchTheLatestReports)
{
  Random random(7);
  ServerLoadTracker tracker;
  std::map<std::string, std::vector<ServerUsage>> latestReports;
  for (int step = 0; step < 2000; ++step) {
    if (step % 50 == 0) {
      const std::string engine = "e" + std::to_string(random.DrawBelow(6));
      tracker.Remove(BackendServerId(engine));
      AddEngine(tracker, "e" + std::to_string(random.DrawBelow(6)));
    }
    const std::string peer = "d" + std::to_string(random.DrawBelow(5));
    std::vector<ServerUsage> uses;
    for (int engine = 0; engine < 6; ++engine) {
      const auto runs = static_cast<std::uint32_t>(random.DrawBelow(3));
      if (runs > 0) {
        uses.push_back({ BackendServerId("e" + std::to_string(engine)),
                         runs,
                         runs * 1000.0 * random.DrawUnit(),
                         0.0 });
      }
    }
    latestReports[peer] = uses;
    tracker.SetPeerUsage(peer, uses, At(0));
    for (const auto& [id, server] : tracker.GetServers()) {
      std::uint32_t runs = 0;
      double memory = 0.0;
      for (const auto& [name, usages] : latestReports) {
        for (const ServerUsage& use : usages) {
          runs += use.server_ == id ? use.runs_ : 0;
          memory += use.server_ == id ? use.memoryTokens_ : 0.0;
        }
      }
      BOOST_REQUIRE(server.GetRuns() == runs);
      BOOST_REQUIRE(std::abs(server.GetMemoryTokens() - memory) < 1e-3);
    }
  }
}

// Guards against the load of daemons that no longer send reports.
BOOST_AUTO_TEST_CASE(SilentPeersExpire)
{
  ServerLoadTracker tracker;
  AddEngine(tracker, "e1");
  tracker.SetPeerUsage(
    "d2", { { BackendServerId("e1"), 3, 9000.0, 0.0 } }, At(0));
  BOOST_TEST(tracker.Find(BackendServerId("e1"))->GetRuns() == 3U);
  BOOST_TEST(tracker.ExpirePeers(At(1.0)) == 1U);
  BOOST_TEST(tracker.ExpirePeers(At(2.0)) == 0U);
  BOOST_TEST(tracker.Find(BackendServerId("e1"))->GetRuns() == 0U);
}

// Guards against load that a summary counts twice or leaves out, and against
// summaries of summaries.
BOOST_AUTO_TEST_CASE(SummaryCoversOwnLoadAndThatOfSinglePeers)
{
  const BackendServerId server("e1");
  ServerLoadTracker tracker;
  AddEngine(tracker, "e1");
  StartGeneration(tracker, "e1", 1000);
  tracker.SetPeerUsage("d2", { { server, 3, 9000.0, 10.0 } }, At(0));
  tracker.SetPeerUsage("d3", { { server, 1, 500.0, 0.0 } }, At(0));
  tracker.SetPeerUsage(
    "zone b", { { server, 7, 100.0, 0.0 } }, At(0), LoadScope::Zone, 40);
  const LoadSummary own = tracker.SummarizeDaemons(At(0));
  BOOST_TEST(own.daemonCount_ == 3U);
  BOOST_REQUIRE(own.usage_.size() == 1U);
  BOOST_TEST(own.usage_[0].runs_ == 5U);
  BOOST_TEST(own.usage_[0].memoryTokens_ > 9500.0);
  const LoadSummary zones = tracker.SummarizeZones();
  BOOST_TEST(zones.daemonCount_ == 40U);
  BOOST_REQUIRE(zones.usage_.size() == 1U);
  BOOST_TEST(zones.usage_[0].runs_ == 7U);
  BOOST_TEST(tracker.CountPeers() == 42U);
  // A report replaces the previous one of its sender.
  tracker.SetPeerUsage("zone b", {}, At(1), LoadScope::Zone, 38);
  BOOST_TEST(tracker.CountPeers() == 40U);
  BOOST_TEST(tracker.ExpirePeers(At(2)) == 38U);
  BOOST_TEST(tracker.ExpirePeers(At(3)) == 0U);
}

// Guards against the removal of a server that still has runs.
BOOST_AUTO_TEST_CASE(RemovedServerStaysUntilItsRunsEnd)
{
  ServerLoadTracker tracker;
  AddEngine(tracker, "e1");
  const RunId run = StartGeneration(tracker, "e1", 1000);
  tracker.Remove(BackendServerId("e1"));
  BOOST_REQUIRE(tracker.Find(BackendServerId("e1")) != nullptr);
  BOOST_CHECK(tracker.Find(BackendServerId("e1"))->record_.state_ ==
              ServerState::Draining);
  tracker.Finish(run, RunOutcome::Completed, At(1));
}

// Guards against two daemons that send the same query to an engine.
BOOST_AUTO_TEST_CASE(ServerHasOneDesignatedUser)
{
  ServerLoadTracker tracker;
  AddEngine(tracker, "e1");
  tracker.SetPeerUsage("d1", { { BackendServerId("e1"), 1, 0.0, 0.0 } }, At(0));
  BOOST_TEST(tracker.IsDesignatedUser("d0", BackendServerId("e1")));
  BOOST_TEST(!tracker.IsDesignatedUser("d2", BackendServerId("e1")));
}

// Guards against a run that is not moved from an engine that shuts down: two of
// its events arrived in one read, so the engine appeared to be very fast.
BOOST_AUTO_TEST_CASE(EventsOfOneReadDoNotPreventAMove)
{
  ServerLoadTracker tracker;
  AddEngine(tracker, "e1");
  const RunId run = StartGeneration(tracker, "e1", 1000);
  const double assumed =
    tracker.Find(BackendServerId("e1"))->GetSecondsPerToken();
  tracker.ObserveEvent(run, 8, kStart + std::chrono::microseconds(100050));
  const double learned =
    tracker.Find(BackendServerId("e1"))->GetSecondsPerToken();
  BOOST_TEST(learned > 0.7 * assumed);
  BOOST_TEST(MovePlanner::Plan(tracker, BackendServerId("e1")).size() == 1U);
}

// Guards against moves of runs that end before the shutdown, and against moves
// in the wrong order.
BOOST_AUTO_TEST_CASE(RunsWithMostRemainingOutputMoveFirst)
{
  ServerLoadTracker tracker;
  AddEngine(tracker, "e1");
  const RunId young = StartGeneration(tracker, "e1", 3000);
  const RunId old = StartGeneration(tracker, "e1", 3000);
  const RunId ending = StartGeneration(tracker, "e1", 3000);
  tracker.ObserveEvent(old, 500, At(5));
  tracker.ObserveEvent(ending, 996, At(10));
  const auto moves = MovePlanner::Plan(tracker, BackendServerId("e1"));
  BOOST_REQUIRE(moves.size() == 2);
  BOOST_TEST(moves[0].run_ != ending);
  BOOST_TEST(moves[1].run_ != ending);
  BOOST_TEST(moves[0].remainingTokens_ >= moves[1].remainingTokens_);
  BOOST_TEST((moves[0].run_ == young || moves[0].run_ == old));
}

// Guards against stopping a generation while other copies are queued ahead.
BOOST_AUTO_TEST_CASE(GenerationStopsOnAFreeLinkOnly)
{
  BOOST_TEST(MovePlanner::IsLinkFree(std::chrono::milliseconds(10)));
  BOOST_TEST(!MovePlanner::IsLinkFree(std::chrono::milliseconds(200)));
}

} // namespace azurecross

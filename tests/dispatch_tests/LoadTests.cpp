#include "TestPool.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>
#include <vector>

namespace azurecross {

// Guards against load that stays on the board after its runs have ended.
BOOST_AUTO_TEST_CASE(LoadFollowsTheRuns)
{
  LoadBoard board;
  AddEngine(board, "e1");
  const RunNumber run = board.Start({ BackendServerId("e1"),
                                      RouteName("plan"),
                                      CustomerId("c"),
                                      CallKind::Generation,
                                      MakeGeneration(3000).demand_,
                                      0,
                                      At(0) });
  const ServerLoad* load = board.Find(BackendServerId("e1"));
  BOOST_TEST(load->GetPendingPrompt() == 3000.0);
  BOOST_TEST(load->GetMemory() > 3000.0);
  board.ObserveEvent(run, 4, At(0.4));
  BOOST_TEST(load->GetPendingPrompt() == 0.0);
  board.Finish(run, RunEnd::Completed, At(1));
  BOOST_TEST(load->GetRuns() == 0U);
  BOOST_TEST(load->GetMemory() == 0.0);
}

// Guards against sums over the other daemons that drift from what these last
// said, by reports that replace each other and servers that come and go.
BOOST_AUTO_TEST_CASE(SumsOfOthersAreTheirLastWords)
{
  Random random(7);
  LoadBoard board;
  std::map<std::string, std::vector<ServerUse>> said;
  for (int step = 0; step < 2000; ++step) {
    if (step % 50 == 0) {
      const std::string engine = "e" + std::to_string(random.DrawBelow(6));
      board.Remove(BackendServerId(engine));
      AddEngine(board, "e" + std::to_string(random.DrawBelow(6)));
    }
    const std::string peer = "d" + std::to_string(random.DrawBelow(5));
    std::vector<ServerUse> uses;
    for (int engine = 0; engine < 6; ++engine) {
      const auto runs = static_cast<std::uint32_t>(random.DrawBelow(3));
      if (runs > 0) {
        uses.push_back({ BackendServerId("e" + std::to_string(engine)),
                         runs,
                         runs * 1000.0 * random.DrawUnit(),
                         0.0 });
      }
    }
    said[peer] = uses;
    board.SetPeerUse(peer, uses, At(0));
    for (const auto& [id, server] : board.GetServers()) {
      std::uint32_t runs = 0;
      double memory = 0.0;
      for (const auto& [name, words] : said) {
        for (const ServerUse& use : words) {
          runs += use.server_ == id ? use.runs_ : 0;
          memory += use.server_ == id ? use.memoryTokens_ : 0.0;
        }
      }
      BOOST_REQUIRE(server.GetRuns() == runs);
      BOOST_REQUIRE(std::abs(server.GetMemory() - memory) < 1e-3);
    }
  }
}

// Guards against loads of daemons that have died.
BOOST_AUTO_TEST_CASE(SilentDaemonsAreForgotten)
{
  LoadBoard board;
  AddEngine(board, "e1");
  board.SetPeerUse("d2", { { BackendServerId("e1"), 3, 9000.0, 0.0 } }, At(0));
  BOOST_TEST(board.Find(BackendServerId("e1"))->GetRuns() == 3U);
  BOOST_TEST(board.ExpirePeers(At(1.0)) == 1U);
  BOOST_TEST(board.ExpirePeers(At(2.0)) == 0U);
  BOOST_TEST(board.Find(BackendServerId("e1"))->GetRuns() == 0U);
}

// Guards against a server that vanishes from the board under its own runs.
BOOST_AUTO_TEST_CASE(RemovedServerStaysUntilItsRunsEnd)
{
  LoadBoard board;
  AddEngine(board, "e1");
  const RunNumber run = StartGeneration(board, "e1", 1000);
  board.Remove(BackendServerId("e1"));
  BOOST_REQUIRE(board.Find(BackendServerId("e1")) != nullptr);
  BOOST_CHECK(board.Find(BackendServerId("e1"))->record_.state_ ==
              ServerState::Draining);
  board.Finish(run, RunEnd::Completed, At(1));
}

// Guards against two daemons that ask an engine the same.
BOOST_AUTO_TEST_CASE(OneUserOfAServerIsFirst)
{
  LoadBoard board;
  AddEngine(board, "e1");
  board.SetPeerUse("d1", { { BackendServerId("e1"), 1, 0.0, 0.0 } }, At(0));
  BOOST_TEST(board.IsFirstUser("d0", BackendServerId("e1")));
  BOOST_TEST(!board.IsFirstUser("d2", BackendServerId("e1")));
}

// Guards against a run that is left on a leaving engine because two of its
// events came in one read, which looked like a very fast engine.
BOOST_AUTO_TEST_CASE(EventsOfOneReadDoNotKeepARunFromMoving)
{
  LoadBoard board;
  AddEngine(board, "e1");
  const RunNumber run = StartGeneration(board, "e1", 1000);
  const double assumed =
    board.Find(BackendServerId("e1"))->GetSecondsPerToken();
  board.ObserveEvent(run, 8, kStart + std::chrono::microseconds(100050));
  const double learned =
    board.Find(BackendServerId("e1"))->GetSecondsPerToken();
  BOOST_TEST(learned > 0.7 * assumed);
  BOOST_TEST(MoveSchedule::Plan(board, BackendServerId("e1")).size() == 1U);
}

// Guards against moves of runs that end in time, and in the wrong order.
BOOST_AUTO_TEST_CASE(RunsWithMostToLoseMoveFirst)
{
  LoadBoard board;
  AddEngine(board, "e1");
  const RunNumber young = StartGeneration(board, "e1", 3000);
  const RunNumber old = StartGeneration(board, "e1", 3000);
  const RunNumber ending = StartGeneration(board, "e1", 3000);
  board.ObserveEvent(old, 500, At(5));
  board.ObserveEvent(ending, 996, At(10));
  const auto moves = MoveSchedule::Plan(board, BackendServerId("e1"));
  BOOST_REQUIRE(moves.size() == 2);
  BOOST_TEST(moves[0].run_ != ending);
  BOOST_TEST(moves[1].run_ != ending);
  BOOST_TEST(moves[0].remainingTokens_ >= moves[1].remainingTokens_);
  BOOST_TEST((moves[0].run_ == young || moves[0].run_ == old));
}

// Guards against a stop of a generation while copies of others are ahead.
BOOST_AUTO_TEST_CASE(GenerationStopsOnAFreeLinkOnly)
{
  BOOST_TEST(MoveSchedule::IsLinkFree(std::chrono::milliseconds(10)));
  BOOST_TEST(!MoveSchedule::IsLinkFree(std::chrono::milliseconds(200)));
}

} // namespace azurecross

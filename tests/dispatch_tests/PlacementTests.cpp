#include "TestPool.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace azurecross {

// Guards against engines filled beyond their memory, which preempts streams.
BOOST_AUTO_TEST_CASE(EngineIsNotFilledBeyondItsMemory)
{
  LoadBoard board;
  AddEngine(board, "e1");
  ServerPlacement placement(AvailabilityZone("a"), 1);
  int placed = 0;
  while (placed < 20) {
    const auto choice = placement.Choose(board, MakeGeneration(3000), At(1));
    if (!choice) {
      break;
    }
    StartGeneration(board, choice->server_.GetValue(), 3000);
    ++placed;
  }
  BOOST_TEST(placed >= 4);
  BOOST_TEST(placed <= 6);
  BOOST_TEST(board.Find(BackendServerId("e1"))->GetMemory() <= 20000.0);
}

// Guards against generations packed on one engine, whose loss breaks all off.
BOOST_AUTO_TEST_CASE(GenerationsAreSpread)
{
  LoadBoard board;
  AddEngine(board, "e1");
  AddEngine(board, "e2");
  AddEngine(board, "e3");
  ServerPlacement placement(AvailabilityZone("a"), 1);
  for (int run = 0; run < 6; ++run) {
    const auto choice = placement.Choose(board, MakeGeneration(2000), At(1));
    BOOST_REQUIRE(choice.has_value());
    StartGeneration(board, choice->server_.GetValue(), 2000);
  }
  for (const auto& [id, server] : board.GetServers()) {
    BOOST_TEST(server.GetRuns() == 2U);
  }
}

// Guards against streams across zones while the own zone has room, and against
// an own zone that is filled while the others idle.
BOOST_AUTO_TEST_CASE(OwnZoneIsPreferredWhileNotMuchFuller)
{
  LoadBoard board;
  AddEngine(board, "near", "a");
  AddEngine(board, "far", "b");
  ServerPlacement placement(AvailabilityZone("a"), 1);
  const auto first = placement.Choose(board, MakeGeneration(1000), At(1));
  BOOST_TEST(first->server_.GetValue() == "near");
  for (int run = 0; run < 4; ++run) {
    StartGeneration(board, "near", 3000);
  }
  const auto later = placement.Choose(board, MakeGeneration(1000), At(1));
  BOOST_TEST(later->server_.GetValue() == "far");
}

// Guards against a zone that is cut off being tried server by server.
BOOST_AUTO_TEST_CASE(ZoneOutOfReachIsLastChoice)
{
  LoadBoard board;
  AddEngine(board, "near", "a");
  AddEngine(board, "far1", "b");
  AddEngine(board, "far2", "b");
  AddEngine(board, "far3", "b");
  for (int run = 0; run < 4; ++run) {
    StartGeneration(board, "near", 3000);
  }
  for (const char* id : { "far1", "far2" }) {
    const RunNumber run = StartGeneration(board, id, 100);
    board.Finish(run, RunEnd::Unreachable, At(1));
  }
  ServerPlacement placement(AvailabilityZone("a"), 1);
  const auto choice = placement.Choose(board, MakeGeneration(1000), At(1.1));
  BOOST_TEST(choice->server_.GetValue() == "near");
  const auto later = placement.Choose(board, MakeGeneration(1000), At(6));
  BOOST_TEST(later->server_.GetValue() != "near");
}

// Guards against new work on a server that leaves or was excluded.
BOOST_AUTO_TEST_CASE(LeavingAndExcludedServersGetNothing)
{
  LoadBoard board;
  AddEngine(board, "e1");
  ServerRecord leaving = MakeEngine("e2");
  leaving.state_ = ServerState::Draining;
  board.Update(leaving, MakeTraits(), kStart);
  ServerPlacement placement(AvailabilityZone("a"), 1);
  PlacementRequest request = MakeGeneration(1000);
  BOOST_TEST(placement.Choose(board, request, At(1))->server_.GetValue() ==
             "e1");
  request.excluded_ = { BackendServerId("e1") };
  BOOST_TEST(!placement.Choose(board, request, At(1)).has_value());
}

// Guards against many daemons that all choose the engine that looked best in
// reports of the same age. The load: 20 daemons place one prompt each before
// they hear of each other; without the random part all went to one engine.
BOOST_AUTO_TEST_CASE(ManyDaemonsDoNotChooseTheSameEngine)
{
  constexpr int kDaemons = 20;
  std::map<std::string, int> chosen;
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    LoadBoard board;
    for (int engine = 0; engine < 8; ++engine) {
      AddEngine(board, "e" + std::to_string(engine));
    }
    for (int peer = 1; peer < kDaemons; ++peer) {
      board.SetPeerUse("d" + std::to_string(peer),
                       { { BackendServerId("e1"), 1, 500.0, 0.0 } },
                       At(1));
    }
    ServerPlacement placement(AvailabilityZone("a"),
                              static_cast<std::uint64_t>(daemon));
    const auto choice = placement.Choose(board, MakeGeneration(2000), At(1));
    ++chosen[choice->server_.GetValue()];
  }
  int most = 0;
  for (const auto& [id, count] : chosen) {
    most = std::max(most, count);
  }
  BOOST_TEST(most <= kDaemons / 2);
}

// Guards against plain calls beyond the slots of a server.
BOOST_AUTO_TEST_CASE(CallsStayWithinTheSlots)
{
  LoadBoard board;
  board.Update(MakeService("s1"), std::nullopt, kStart);
  ServerPlacement placement(AvailabilityZone("a"), 1);
  for (int call = 0; call < 2; ++call) {
    const auto choice = placement.Choose(board, MakeCall(), At(0));
    BOOST_REQUIRE(choice.has_value());
    board.Start({ choice->server_,
                  RouteName("book"),
                  CustomerId("c"),
                  CallKind::NonIdempotentCall,
                  {},
                  0,
                  At(0) });
  }
  BOOST_TEST(!placement.Choose(board, MakeCall(), At(0)).has_value());
}

} // namespace azurecross

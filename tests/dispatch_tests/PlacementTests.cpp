#include "TestPool.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace azurecross {

// Guards against engines filled beyond their memory, which then preempt
// streams.
BOOST_AUTO_TEST_CASE(EngineIsNotFilledBeyondItsMemory)
{
  ServerLoadTracker tracker;
  AddEngine(tracker, "e1");
  ServerLimiter limiter(1);
  ServerPlacement placement(AvailabilityZone("a"), 1);
  int placed = 0;
  while (placed < 20) {
    const auto choice =
      placement.Choose(tracker, limiter, MakeGeneration(3000), At(1));
    if (!choice) {
      break;
    }
    StartGeneration(tracker, choice->server_.GetValue(), 3000);
    ++placed;
  }
  BOOST_TEST(placed >= 4);
  BOOST_TEST(placed <= 6);
  BOOST_TEST(tracker.Find(BackendServerId("e1"))->GetMemoryTokens() <= 20000.0);
}

// Guards against generations packed on one engine, whose loss interrupts all.
BOOST_AUTO_TEST_CASE(GenerationsAreSpread)
{
  ServerLoadTracker tracker;
  AddEngine(tracker, "e1");
  AddEngine(tracker, "e2");
  AddEngine(tracker, "e3");
  ServerLimiter limiter(1);
  ServerPlacement placement(AvailabilityZone("a"), 1);
  for (int run = 0; run < 6; ++run) {
    const auto choice =
      placement.Choose(tracker, limiter, MakeGeneration(2000), At(1));
    BOOST_REQUIRE(choice.has_value());
    StartGeneration(tracker, choice->server_.GetValue(), 2000);
  }
  for (const auto& [id, server] : tracker.GetServers()) {
    BOOST_TEST(server.GetRuns() == 2U);
  }
}

// Guards against streams across zones while the local zone has capacity, and
// against a local zone that is filled while the others are idle.
BOOST_AUTO_TEST_CASE(LocalZoneIsPreferredUnlessMuchFuller)
{
  ServerLoadTracker tracker;
  AddEngine(tracker, "near", "a");
  AddEngine(tracker, "far", "b");
  ServerLimiter limiter(1);
  ServerPlacement placement(AvailabilityZone("a"), 1);
  const auto first =
    placement.Choose(tracker, limiter, MakeGeneration(1000), At(1));
  BOOST_TEST(first->server_.GetValue() == "near");
  for (int run = 0; run < 4; ++run) {
    StartGeneration(tracker, "near", 3000);
  }
  const auto later =
    placement.Choose(tracker, limiter, MakeGeneration(1000), At(1));
  BOOST_TEST(later->server_.GetValue() == "far");
}

// Guards against trying each server of an unreachable zone in turn.
BOOST_AUTO_TEST_CASE(UnreachableZoneIsLastChoice)
{
  ServerLoadTracker tracker;
  AddEngine(tracker, "near", "a");
  AddEngine(tracker, "far1", "b");
  AddEngine(tracker, "far2", "b");
  AddEngine(tracker, "far3", "b");
  for (int run = 0; run < 4; ++run) {
    StartGeneration(tracker, "near", 3000);
  }
  for (const char* id : { "far1", "far2" }) {
    const RunId run = StartGeneration(tracker, id, 100);
    tracker.Finish(run, RunOutcome::Unreachable, At(1));
  }
  ServerLimiter limiter(1);
  ServerPlacement placement(AvailabilityZone("a"), 1);
  const auto choice =
    placement.Choose(tracker, limiter, MakeGeneration(1000), At(1.1));
  BOOST_TEST(choice->server_.GetValue() == "near");
  const auto later =
    placement.Choose(tracker, limiter, MakeGeneration(1000), At(6));
  BOOST_TEST(later->server_.GetValue() != "near");
}

// Guards against avoiding a zone that answers, because two of its engines have
// ended at about the same time and refuse connections.
BOOST_AUTO_TEST_CASE(ZoneThatAnswersIsNotSuspect)
{
  ServerLoadTracker tracker;
  AddEngine(tracker, "near", "a");
  AddEngine(tracker, "far1", "b");
  AddEngine(tracker, "far2", "b");
  AddEngine(tracker, "far3", "b");
  for (int run = 0; run < 4; ++run) {
    StartGeneration(tracker, "near", 3000);
  }
  const RunId stream = StartGeneration(tracker, "far3", 100);
  const auto fail = [&](const char* aId, double aSeconds) {
    const RunId run = StartGeneration(tracker, aId, 100);
    tracker.Finish(run, RunOutcome::Unreachable, At(aSeconds));
  };
  const AvailabilityZone zone("b");
  fail("far1", 1);
  fail("far2", 1);
  BOOST_TEST(tracker.IsZoneSuspect(zone, At(1)));
  tracker.ObserveEvent(stream, 2, At(1.05));
  BOOST_TEST(!tracker.IsZoneSuspect(zone, At(1.05)));
  ServerLimiter limiter(1);
  ServerPlacement placement(AvailabilityZone("a"), 1);
  const auto choice =
    placement.Choose(tracker, limiter, MakeGeneration(1000), At(1.1));
  BOOST_TEST(choice->server_.GetValue() == "far3");

  fail("far1", 2);
  tracker.ObserveEvent(stream, 4, At(2.05));
  fail("far2", 2.1);
  BOOST_TEST(!tracker.IsZoneSuspect(zone, At(2.1)));
  fail("far1", 2.2);
  BOOST_TEST(tracker.IsZoneSuspect(zone, At(2.2)));
  tracker.Finish(stream, RunOutcome::Rejected, At(2.3));
  BOOST_TEST(!tracker.IsZoneSuspect(zone, At(2.3)));
}

// Guards against new requests on a server that is draining or excluded.
BOOST_AUTO_TEST_CASE(DrainingAndExcludedServersAreNotChosen)
{
  ServerLoadTracker tracker;
  AddEngine(tracker, "e1");
  ServerRecord leaving = MakeEngine("e2");
  leaving.state_ = ServerState::Draining;
  tracker.Update(leaving, MakeTraits(), kStart);
  ServerLimiter limiter(1);
  ServerPlacement placement(AvailabilityZone("a"), 1);
  PlacementRequest request = MakeGeneration(1000);
  BOOST_TEST(
    placement.Choose(tracker, limiter, request, At(1))->server_.GetValue() ==
    "e1");
  request.excludedServers_ = { BackendServerId("e1") };
  BOOST_TEST(!placement.Choose(tracker, limiter, request, At(1)).has_value());
}

// Guards against many daemons that all choose the same engine from reports of
// the same age. 20 daemons place one prompt each before they receive each
// other's reports; without the random part of the cost all choose one engine.
BOOST_AUTO_TEST_CASE(ManyDaemonsDoNotChooseTheSameEngine)
{
  constexpr int kDaemons = 20;
  std::map<std::string, int> chosen;
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    ServerLoadTracker tracker;
    for (int engine = 0; engine < 8; ++engine) {
      AddEngine(tracker, "e" + std::to_string(engine));
    }
    for (int peer = 1; peer < kDaemons; ++peer) {
      tracker.SetPeerUsage("d" + std::to_string(peer),
                           { { BackendServerId("e1"), 1, 500.0, 0.0 } },
                           At(1));
    }
    ServerLimiter limiter(1);
    ServerPlacement placement(AvailabilityZone("a"),
                              static_cast<std::uint64_t>(daemon));
    const auto choice =
      placement.Choose(tracker, limiter, MakeGeneration(2000), At(1));
    ++chosen[choice->server_.GetValue()];
  }
  int most = 0;
  for (const auto& [id, count] : chosen) {
    most = std::max(most, count);
  }
  BOOST_TEST(most <= kDaemons / 2);
}

// Guards against daemons that ignore the failures seen by their peers. Each
// daemon then finds a failing engine only by its own lost requests: one day
// this lost 64 short generations, one or two for each pair of daemon and
// engine.
BOOST_AUTO_TEST_CASE(PeerFailuresAffectPlacement)
{
  ServerLoadTracker other;
  AddEngine(other, "bad");
  for (int failure = 0; failure < 4; ++failure) {
    other.Finish(StartGeneration(other, "bad", 100),
                 RunOutcome::Failed,
                 At(0.1 * failure));
  }
  ServerLoadTracker tracker;
  AddEngine(tracker, "bad");
  AddEngine(tracker, "good");
  for (int run = 0; run < 3; ++run) {
    StartGeneration(tracker, "good", 3000);
  }
  ServerLimiter limiter(1);
  ServerPlacement placement(AvailabilityZone("a"), 1);
  const PlacementRequest request = MakeGeneration(1000);
  BOOST_TEST(
    placement.Choose(tracker, limiter, request, At(1))->server_.GetValue() ==
    "bad");
  tracker.SetPeerStatistics("d2", other.GetOwnStatistics(At(0.5)), At(0.5));
  BOOST_TEST(
    placement.Choose(tracker, limiter, request, At(1))->server_.GetValue() ==
    "good");
  // Old observations of peers have decayed.
  tracker.SetPeerStatistics("d2", other.GetOwnStatistics(At(60)), At(60));
  BOOST_TEST(
    placement.Choose(tracker, limiter, request, At(60))->server_.GetValue() ==
    "bad");
}

// Guards against treating slow and fast engines alike because no single daemon
// has used them often enough.
BOOST_AUTO_TEST_CASE(PeerSpeedsAffectEstimates)
{
  ServerLoadTracker other;
  AddEngine(other, "slow");
  const PlacementRequest request = MakeGeneration(2000);
  const RunId run = other.Start({ BackendServerId("slow"),
                                  request.route_,
                                  request.customer_,
                                  request.kind_,
                                  request.demand_,
                                  0,
                                  At(0) });
  other.ObserveEvent(run, 4, At(3));
  ServerLoadTracker tracker;
  AddEngine(tracker, "slow");
  const ServerLoad* server = tracker.Find(BackendServerId("slow"));
  const double assumed = server->GetSecondsPerPromptToken();
  tracker.SetPeerStatistics("d2", other.GetOwnStatistics(At(3)), At(3));
  BOOST_TEST(server->GetSecondsPerPromptToken() > 3.0 * assumed);
}

// Guards against generations that are lost with their engine because new ones
// have filled all others. It occurs in a burst beyond the engines' memory while
// a sixth of the engines is reclaimed; one day, seven of ten interrupted
// streams found no engine with room.
BOOST_AUTO_TEST_CASE(MovingRunsUseMemoryReservedFromNewRuns)
{
  ServerLoadTracker tracker;
  AddEngine(tracker, "e1");
  ServerLimiter limiter(1);
  ServerPlacement placement(AvailabilityZone("a"), 1);
  PlacementRequest request = MakeGeneration(3000);
  while (placement.Choose(tracker, limiter, request, At(1))) {
    StartGeneration(tracker, "e1", 3000);
  }
  const double memory = tracker.Find(BackendServerId("e1"))->GetMemoryTokens();
  BOOST_TEST(tracker.Find(BackendServerId("e1"))->GetRuns() < 8U);
  request.outputTokens_ = 400;
  const double needed = tracker.PredictMemory(
    request.route_, request.customer_, request.demand_, request.outputTokens_);
  // Only a small part of the memory is reserved for moving runs.
  request.demand_.promptTokens_ -=
    static_cast<std::uint32_t>(std::max(0.0, memory + needed - 0.92 * 20000.0));
  BOOST_TEST(placement.Choose(tracker, limiter, request, At(1)).has_value());
  request.outputTokens_ = 0;
  request.demand_.outputLimit_ = 1000;
  request.demand_.promptTokens_ =
    static_cast<std::uint32_t>(std::max(0.0, 0.88 * 20000.0 - memory));
  BOOST_TEST(!placement.Choose(tracker, limiter, request, At(1)).has_value());
}

// Guards against short generations that wait behind long ones for the memory
// that is reserved for the growth of running generations. It occurs when a
// burst has filled the engines with long generations.
BOOST_AUTO_TEST_CASE(ShortRunsUseTheReservedMemory)
{
  ServerLoadTracker tracker;
  AddEngine(tracker, "e1");
  ServerLimiter limiter(1);
  ServerPlacement placement(AvailabilityZone("a"), 1);
  PlacementRequest request = MakeGeneration(3000);
  const auto start = [&] {
    tracker.Start({ BackendServerId("e1"),
                    request.route_,
                    request.customer_,
                    request.kind_,
                    request.demand_,
                    1,
                    At(0) });
  };
  while (placement.Choose(tracker, limiter, request, At(1))) {
    start();
  }
  const double memory = tracker.Find(BackendServerId("e1"))->GetMemoryTokens();
  BOOST_TEST(memory < 0.9 * 20000.0);
  request.demand_.promptTokens_ =
    static_cast<std::uint32_t>(0.95 * 20000.0 - memory);
  BOOST_TEST(!placement.Choose(tracker, limiter, request, At(1)).has_value());
  request.demand_.outputLimit_ = 20;
  BOOST_TEST(placement.Choose(tracker, limiter, request, At(1)).has_value());
}

// Guards against more concurrent plain calls than a server has slots.
BOOST_AUTO_TEST_CASE(CallsStayWithinTheSlots)
{
  ServerLoadTracker tracker;
  tracker.Update(MakeService("s1"), std::nullopt, kStart);
  ServerLimiter limiter(1);
  ServerPlacement placement(AvailabilityZone("a"), 1);
  for (int call = 0; call < 2; ++call) {
    const auto choice = placement.Choose(tracker, limiter, MakeCall(), At(0));
    BOOST_REQUIRE(choice.has_value());
    tracker.Start({ choice->server_,
                    RouteName("book"),
                    CustomerId("c"),
                    CallKind::NonIdempotentCall,
                    {},
                    0,
                    At(0) });
  }
  BOOST_TEST(
    !placement.Choose(tracker, limiter, MakeCall(), At(0)).has_value());
}

} // namespace azurecross

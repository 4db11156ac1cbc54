#include "TestPool.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace azurecross {

namespace {

const AvailabilityZone kZoneA("a");
const AvailabilityZone kZoneB("b");

EvacuatedZones
MakeList(std::set<AvailabilityZone> aZones,
         std::uint64_t aRevision,
         std::uint64_t aRestoreCount = 0)
{
  return { std::move(aZones), aRestoreCount, aRevision };
}

/** A daemon of zone a with one engine in each of the zones a, b and c. */
struct ZonesFixture
{
  ServerLoadTracker tracker_;
  ServerLimiter limiter_{ 1 };
  RequestQuarantine quarantine_{ 1 };
  Dispatcher dispatcher_{ tracker_,
                          limiter_,
                          quarantine_,
                          ServerPlacement(kZoneA, 1),
                          7 };
  TicketId nextTicket_ = 1;

  ZonesFixture()
  {
    for (const char* zone : { "a", "b", "c" }) {
      AddEngine(tracker_, std::string("engine-") + zone, zone);
    }
  }

  DispatchDecisions Enqueue(Time aNow)
  {
    DispatchTicket ticket;
    ticket.id_ = nextTicket_++;
    ticket.request_ = MakeGeneration(100);
    ticket.arrival_ = aNow;
    ticket.targetTime_ = aNow + std::chrono::seconds(4);
    ticket.deadline_ = aNow + std::chrono::seconds(39);
    DispatchDecisions out;
    dispatcher_.Enqueue(std::move(ticket), aNow, out);
    return out;
  }
};

} // namespace

// Guards against an evacuation that a late list of another daemon ends or
// begins again.
BOOST_AUTO_TEST_CASE(OlderListsOfEvacuationsAreIgnored)
{
  ZoneEvacuations evacuations;
  BOOST_TEST(evacuations.Apply(MakeList({ kZoneA }, 10), kStart).size() == 1U);
  BOOST_TEST(evacuations.Apply(MakeList({}, 9), kStart).empty());
  BOOST_TEST(evacuations.IsEvacuated(kZoneA));
  BOOST_TEST(evacuations.Apply(MakeList({}, 11), kStart).size() == 1U);
  BOOST_TEST(evacuations.Apply(MakeList({ kZoneA }, 10), kStart).empty());
  BOOST_TEST(!evacuations.IsEvacuated(kZoneA));
}

// Guards against a second evacuation of a zone, or one of a second zone, that
// has no effect.
BOOST_AUTO_TEST_CASE(EvacuationsCanOverlapAndBeRepeated)
{
  ZoneEvacuations evacuations;
  evacuations.Apply(MakeList({ kZoneA, kZoneB }, 1), kStart);
  BOOST_TEST(evacuations.CountEvacuated() == 2U);
  evacuations.Apply(MakeList({ kZoneB }, 2), At(1));
  BOOST_TEST(!evacuations.IsEvacuated(kZoneA));
  BOOST_TEST(evacuations.IsEvacuated(kZoneB));
  evacuations.Apply(MakeList({ kZoneA, kZoneB }, 3), At(2));
  BOOST_TEST(
    evacuations.IsEvacuatedFor(kZoneB, std::chrono::seconds(2), At(2)));
  BOOST_TEST(
    !evacuations.IsEvacuatedFor(kZoneA, std::chrono::seconds(1), At(2.5)));
}

// Guards against requests to an evacuated zone after the store came back from a
// backup that lacks the evacuation.
BOOST_AUTO_TEST_CASE(RestoredStoreEndsEvacuationsOnlyAfterSomeTime)
{
  ZoneEvacuations evacuations;
  evacuations.Apply(MakeList({ kZoneA, kZoneB }, 100), kStart);
  BOOST_TEST(evacuations.Apply(MakeList({}, 50, 1), At(10)).empty());
  BOOST_TEST(evacuations.Tick(At(12)).empty());
  // The operator's write is repeated.
  BOOST_TEST(evacuations.Apply(MakeList({ kZoneA }, 52, 1), At(12)).empty());
  const auto changes = evacuations.Tick(At(13.1));
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((changes.front().zone_ == kZoneB));
  BOOST_TEST(evacuations.IsEvacuated(kZoneA));
}

// Guards against requests that are sent to an evacuated zone: waiting ones, new
// ones, and ones to servers that register while it is evacuated.
BOOST_FIXTURE_TEST_CASE(NothingIsSentToEvacuatedZones, ZonesFixture)
{
  tracker_.SetEvacuated(kZoneA, true);
  AddEngine(tracker_, "new-engine", "a");
  std::set<std::string> used;
  for (int request = 0; request < 12; ++request) {
    for (const StartDecision& start : Enqueue(kStart).starts_) {
      used.insert(start.choice_.zone_.GetValue());
    }
  }
  BOOST_TEST(used == (std::set<std::string>{ "b", "c" }),
             boost::test_tools::per_element());
  tracker_.SetEvacuated(kZoneA, false);
  const DispatchDecisions decisions = Enqueue(At(1));
  BOOST_REQUIRE(decisions.starts_.size() == 1U);
  BOOST_TEST((decisions.starts_.front().choice_.zone_ == kZoneA));
}

// Guards against requests that are held although all zones are evacuated, both
// those that arrive later and those that wait already.
BOOST_FIXTURE_TEST_CASE(RequestsAreRefusedWhileAllZonesAreEvacuated,
                        ZonesFixture)
{
  for (int request = 0; request < 60; ++request) {
    Enqueue(kStart);
  }
  BOOST_REQUIRE(dispatcher_.CountQueued() > 0U);
  for (const char* zone : { "a", "b", "c" }) {
    tracker_.SetEvacuated(AvailabilityZone(zone), true);
  }
  DispatchDecisions out;
  dispatcher_.Tick(At(0.02), out);
  BOOST_TEST(dispatcher_.CountQueued() == 0U);
  BOOST_TEST(out.starts_.empty());
  BOOST_TEST(!out.refusals_.empty());
  const DispatchDecisions later = Enqueue(At(0.1));
  BOOST_REQUIRE(later.refusals_.size() == 1U);
  BOOST_TEST((later.refusals_.front().reason_ == ErrorCode::NoBackendServer));
}

} // namespace azurecross

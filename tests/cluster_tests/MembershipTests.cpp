#include <boost/test/unit_test.hpp>

#include "VirtualNetwork.h"

namespace azurecross {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(MembershipOfZone)

// Guards against entries that never learn each other from one seed.
BOOST_AUTO_TEST_CASE(ZoneFormsFromOneSeed)
{
  VirtualNetwork network(1);
  network.AddZone("helwan", 47);
  const auto taken =
    network.RunUntil([&] { return network.ZonesAreComplete(); }, 10s);
  BOOST_REQUIRE(taken.has_value());
  BOOST_TEST_MESSAGE("formed in " << ToSeconds(*taken) << " s");
}

// Guards against an entry that stays alone because it has no seed while the
// VM list names its peers.
BOOST_AUTO_TEST_CASE(ZoneFormsFromTheVmList)
{
  VirtualNetwork network(2);
  const EntryId first = network.Add("helwan");
  const EntryId second = network.Add("helwan");
  MembershipSettings settings = network.Get(second).settings_;
  settings.seeds_.clear();
  network.Start(settings);
  network.Run(3s);
  BOOST_TEST(!network.ZonesAreComplete());
  const Member self = network.GetMembership(first).GetSelf();
  network.GetMembership(second).SetListedEntries(
    { { self.entry_, self.zone_, self.address_ } });
  BOOST_TEST(network.RunUntil([&] { return network.ZonesAreComplete(); }, 3s)
               .has_value());
}

// Guards against a killed member that gets work for more than 3 s.
BOOST_AUTO_TEST_CASE(KilledMemberIsDeadWithinThreeSeconds)
{
  for (const int members : { 2, 6, 47 }) {
    for (std::uint64_t seed = 0; seed < 5; ++seed) {
      VirtualNetwork network(seed);
      network.AddZone("helwan", members - 1);
      const EntryId victim = network.Add("helwan");
      network.Run(5s);
      BOOST_REQUIRE(network.ZonesAreComplete());
      network.Get(victim).isKilled_ = true;
      const auto taken = network.RunUntil(
        [&] { return network.AllSee(victim, MemberState::Dead); }, 10s);
      BOOST_REQUIRE(taken.has_value());
      BOOST_TEST_MESSAGE(members << " members, seed " << seed << ": dead after "
                                 << ToSeconds(*taken) << " s");
      BOOST_TEST((*taken <= 3s));
      BOOST_TEST(network.ZonesAreComplete());
    }
  }
}

// Guards against a paused member that is not declared dead, that on its return
// declares the others dead, or that stays dead.
BOOST_AUTO_TEST_CASE(PausedMemberReturnsWithNewIncarnation)
{
  VirtualNetwork network(3);
  network.AddZone("helwan", 11);
  const EntryId paused = network.Add("helwan");
  network.Run(5s);
  const Incarnation before = network.GetMembership(paused).GetIncarnation();
  network.Get(paused).isPaused_ = true;
  network.Run(20s);
  BOOST_TEST(network.AllSee(paused, MemberState::Dead));
  for (auto& [id, node] : network.GetNodes()) {
    node.changes_.clear();
  }
  network.Get(paused).isPaused_ = false;
  const auto taken = network.RunUntil(
    [&] { return network.AllSee(paused, MemberState::Live); }, 10s);
  BOOST_REQUIRE(taken.has_value());
  BOOST_TEST_MESSAGE("back after " << ToSeconds(*taken) << " s");
  BOOST_TEST((*taken <= 2s));
  BOOST_TEST((network.GetMembership(paused).GetIncarnation() > before));
  network.Run(10s);
  BOOST_TEST(network.ZonesAreComplete());
  for (const Member& change : network.Get(paused).changes_) {
    BOOST_TEST((change.state_ != MemberState::Dead));
  }
}

// Guards against a short pause that costs the member its homes.
BOOST_AUTO_TEST_CASE(ShortPauseIsNoDeath)
{
  VirtualNetwork network(4);
  network.AddZone("helwan", 11);
  const EntryId paused = network.Add("helwan");
  network.Run(5s);
  network.Get(paused).isPaused_ = true;
  network.Run(900ms);
  network.Get(paused).isPaused_ = false;
  network.Run(5s);
  for (auto& [id, node] : network.GetNodes()) {
    for (const Member& change : node.changes_) {
      BOOST_TEST((change.state_ != MemberState::Dead));
    }
  }
}

// Guards against a zone that does not go on in both parts of a split, or does
// not merge after it.
BOOST_AUTO_TEST_CASE(SplitZoneGoesOnAndMerges)
{
  VirtualNetwork network(5);
  network.AddZone("helwan", 12);
  network.Run(5s);
  std::set<EntryId> left;
  for (auto& [id, node] : network.GetNodes()) {
    if (left.size() < 6) {
      left.insert(id);
    }
  }
  network.isCut_ = [&](const EntryId& aFirst, const EntryId& aSecond) {
    return left.contains(aFirst) != left.contains(aSecond);
  };
  network.Run(60s);
  for (auto& [id, node] : network.GetNodes()) {
    BOOST_TEST(node.view_->GetMembership().ListEligible().size() == 6U);
  }
  network.isCut_ = nullptr;
  const auto taken =
    network.RunUntil([&] { return network.ZonesAreComplete(); }, 30s);
  BOOST_REQUIRE(taken.has_value());
  BOOST_TEST_MESSAGE("merged in " << ToSeconds(*taken) << " s");
  BOOST_TEST((*taken <= 10s));
}

// Guards against message loss and duplication that make members flap: with 10%
// no member is declared dead, with 30% the zone still comes back to agreement.
BOOST_AUTO_TEST_CASE(LossDoesNotKillMembers)
{
  for (const double loss : { 0.1, 0.3 }) {
    VirtualNetwork network(6);
    network.AddZone("helwan", 20);
    network.Run(10s);
    network.loss_ = loss;
    network.duplication_ = 0.1;
    network.Run(120s);
    std::size_t deaths = 0;
    std::size_t suspicions = 0;
    for (auto& [id, node] : network.GetNodes()) {
      for (const Member& change : node.changes_) {
        deaths += change.state_ == MemberState::Dead ? 1 : 0;
        suspicions += change.state_ == MemberState::Suspect ? 1 : 0;
      }
    }
    BOOST_TEST_MESSAGE("loss " << loss << ": " << deaths << " deaths and "
                               << suspicions
                               << " suspicions seen in error in 120 s");
    // Otherwise the loss was too small to test refutation.
    BOOST_TEST(suspicions > 0U);
    if (loss < 0.2) {
      BOOST_TEST(deaths == 0U);
    }
    network.loss_ = 0.0;
    BOOST_TEST(network.RunUntil([&] { return network.ZonesAreComplete(); }, 10s)
                 .has_value());
  }
}

// Guards against a process that its peers no longer know by the incarnation of
// its start once it has refuted its death: operation records are handed to it
// under that one.
BOOST_AUTO_TEST_CASE(RefutationKeepsTheStart)
{
  VirtualNetwork network(8);
  network.AddZone("helwan", 20);
  network.Run(10s);
  std::map<EntryId, Incarnation> starts;
  for (auto& [id, node] : network.GetNodes()) {
    starts[id] = node.view_->GetMembership().GetIncarnation();
  }
  network.loss_ = 0.3;
  network.Run(120s);
  network.loss_ = 0.0;
  BOOST_REQUIRE(
    network.RunUntil([&] { return network.ZonesAreComplete(); }, 10s));
  std::size_t refuted = 0;
  for (auto& [id, node] : network.GetNodes()) {
    for (const Member& peer : node.view_->GetMembership().ListPeers()) {
      BOOST_TEST(peer.start_.GetValue() == starts.at(peer.entry_).GetValue());
      refuted += peer.incarnation_ > peer.start_ ? 1 : 0;
    }
  }
  BOOST_TEST(refuted > 0U);
}

// Guards against detection that fails when messages are lost at the same time.
BOOST_AUTO_TEST_CASE(DeathIsSeenUnderLoss)
{
  VirtualNetwork network(7);
  network.loss_ = 0.1;
  network.duplication_ = 0.1;
  network.AddZone("helwan", 46);
  const EntryId victim = network.Add("helwan");
  network.Run(15s);
  network.Get(victim).isKilled_ = true;
  const auto taken = network.RunUntil(
    [&] { return network.AllSee(victim, MemberState::Dead); }, 10s);
  BOOST_REQUIRE(taken.has_value());
  BOOST_TEST_MESSAGE("dead after " << ToSeconds(*taken) << " s");
  BOOST_TEST((*taken <= 3s));
}

// Guards against a planned stop that peers learn late or take for a death.
BOOST_AUTO_TEST_CASE(LeavingMemberIsAnnouncedAtOnce)
{
  VirtualNetwork network(8);
  network.AddZone("helwan", 46);
  const EntryId leaver = network.Add("helwan");
  network.Run(10s);
  ClusterActions actions;
  network.Get(leaver).view_->AnnounceLeaving(network.GetNow(), actions);
  BOOST_TEST(actions.messages_.size() == Membership::kUrgentFanout);
  network.Submit(leaver, actions);
  const auto taken = network.RunUntil(
    [&] { return network.AllSee(leaver, MemberState::Leaving); }, 5s);
  BOOST_REQUIRE(taken.has_value());
  BOOST_TEST_MESSAGE("known after " << ToSeconds(*taken) << " s");
  BOOST_TEST((*taken <= 1s));
  network.Run(10s);
  BOOST_TEST(network.AllSee(leaver, MemberState::Leaving));
}

// Guards against a restarted entry that peers take for its earlier process.
BOOST_AUTO_TEST_CASE(RestartedMemberReplacesItsEarlierProcess)
{
  VirtualNetwork network(9);
  network.AddZone("helwan", 11);
  const EntryId restarted = network.Add("helwan");
  network.Run(5s);
  MembershipSettings settings = network.Get(restarted).settings_;
  settings.incarnation_ = Incarnation(50'000);
  network.Start(settings);
  network.Run(5s);
  BOOST_TEST(network.ZonesAreComplete());
  for (auto& [id, node] : network.GetNodes()) {
    BOOST_TEST((node.view_->GetMembership().Find(restarted)->incarnation_ ==
                network.GetMembership(restarted).GetIncarnation()));
  }
}

// Guards against an entry that stays unknown because its clock was set back
// between two starts.
BOOST_AUTO_TEST_CASE(RestartWithAnEarlierClockIsAccepted)
{
  VirtualNetwork network(12);
  network.AddZone("helwan", 5);
  const EntryId restarted = network.Add("helwan");
  network.Run(5s);
  MembershipSettings settings = network.Get(restarted).settings_;
  settings.incarnation_ = Incarnation(1);
  network.Start(settings);
  network.Run(10s);
  BOOST_TEST(network.ZonesAreComplete());
  BOOST_TEST(network.AllSee(restarted, MemberState::Live));
  BOOST_TEST(
    (network.GetMembership(restarted).GetIncarnation() > Incarnation(1)));
}

// Guards against views that differ for good: one member cannot reach another,
// while all others reach both.
BOOST_AUTO_TEST_CASE(OneBrokenLinkDoesNotKillMembers)
{
  VirtualNetwork network(10);
  network.AddZone("helwan", 12);
  network.Run(5s);
  const EntryId first = network.GetNodes().begin()->first;
  const EntryId second = std::next(network.GetNodes().begin())->first;
  network.isCut_ = [&](const EntryId& aLeft, const EntryId& aRight) {
    return (aLeft == first && aRight == second) ||
           (aLeft == second && aRight == first);
  };
  network.Run(60s);
  for (auto& [id, node] : network.GetNodes()) {
    for (const Member& change : node.changes_) {
      BOOST_TEST((change.state_ != MemberState::Dead));
    }
  }
}

// Guards against a load that grows with the zone: 8 probes a second and their
// answers, whatever its size.
BOOST_AUTO_TEST_CASE(LoadDoesNotGrowWithTheZone)
{
  std::map<int, std::pair<double, double>> rates;
  for (const int members : { 6, 47, 94 }) {
    VirtualNetwork network(11);
    network.AddZone("helwan", members);
    // The news of the start ride on heartbeats for about 20 s.
    network.Run(30s);
    for (auto& [id, node] : network.GetNodes()) {
      node.sentMessages_ = 0;
      node.sentBytes_ = 0;
    }
    network.Run(10s);
    double messages = 0;
    double bytes = 0;
    for (auto& [id, node] : network.GetNodes()) {
      messages =
        std::max(messages, static_cast<double>(node.sentMessages_) / 10.0);
      bytes = std::max(bytes, static_cast<double>(node.sentBytes_) / 10.0);
      BOOST_TEST(node.largestMessage_ < 4096U);
    }
    BOOST_TEST_MESSAGE(members << " members: at most " << messages
                               << " messages/s and " << bytes
                               << " bytes/s sent by one");
    rates[members] = { messages, bytes };
  }
  BOOST_TEST(rates[94].first < 1.2 * rates[6].first);
  BOOST_TEST(rates[94].second < 1.2 * rates[47].second);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross

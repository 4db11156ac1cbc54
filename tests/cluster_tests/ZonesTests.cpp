#include <boost/test/unit_test.hpp>

#include "VirtualNetwork.h"

namespace azurecross {

using namespace std::chrono_literals;

namespace {

const std::vector<std::string> kZones = { "shubra", "helwan", "obour" };

void
AddZones(VirtualNetwork& aNetwork, int aMembers)
{
  for (const std::string& zone : kZones) {
    aNetwork.AddZone(zone, aMembers);
  }
}

/** @returns whether each running node sees all running nodes as eligible. */
bool
AllSeeAll(VirtualNetwork& aNetwork)
{
  for (auto& [viewer, node] : aNetwork.GetNodes()) {
    if (node.isKilled_) {
      continue;
    }
    for (auto& [other, otherNode] : aNetwork.GetNodes()) {
      const Member* member = node.view_->GetMembership().Find(other);
      const bool isEligible = member != nullptr && member->IsEligible();
      if (isEligible == otherNode.isKilled_) {
        return false;
      }
    }
  }
  return true;
}

std::vector<EntryId>
ListDelegates(VirtualNetwork& aNetwork, const std::string& aZone)
{
  std::vector<EntryId> delegates;
  for (auto& [id, node] : aNetwork.GetNodes()) {
    if (node.settings_.zone_.GetValue() == aZone && !node.isKilled_ &&
        node.view_->GetMembership().IsDelegate()) {
      delegates.push_back(id);
    }
  }
  return delegates;
}

void
PublishGroup(VirtualNetwork& aNetwork,
             const EntryId& aEntry,
             std::uint32_t aSaturation)
{
  wire::GroupSummary summary;
  summary.set_pool("engines");
  summary.set_zone(aNetwork.Get(aEntry).settings_.zone_.GetValue());
  summary.set_saturation(aSaturation);
  summary.set_queue_length(3);
  summary.set_capacity_tokens(1000);
  ClusterActions actions;
  aNetwork.Get(aEntry).view_->GetSummaries().PublishGroup(
    summary, aNetwork.GetNow(), actions);
  aNetwork.Submit(aEntry, actions);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Zones)

// Guards against zones that do not learn each other's members.
BOOST_AUTO_TEST_CASE(ZonesLearnEachOther)
{
  VirtualNetwork network(21);
  AddZones(network, 7);
  const auto taken = network.RunUntil([&] { return AllSeeAll(network); }, 60s);
  BOOST_REQUIRE(taken.has_value());
  BOOST_TEST_MESSAGE("all known after " << ToSeconds(*taken) << " s");
  for (const std::string& zone : kZones) {
    BOOST_TEST(ListDelegates(network, zone).size() == 2U);
  }
}

// Guards against a newcomer whose heartbeats are full of records that all its
// peers know.
BOOST_AUTO_TEST_CASE(NewcomerDoesNotRepeatWhatPeersKnow)
{
  VirtualNetwork network(26);
  AddZones(network, 16);
  network.Run(70s);
  BOOST_REQUIRE(AllSeeAll(network));
  const EntryId newcomer = network.Add("helwan");
  network.Run(20s);
  const EntryId neighbour = network.GetNodes().begin()->first;
  const auto countBytes = [&](const EntryId& aEntry) {
    const std::uint64_t before = network.Get(aEntry).sentBytes_;
    network.Run(10s);
    return network.Get(aEntry).sentBytes_ - before;
  };
  BOOST_TEST(countBytes(newcomer) < 1.3 * countBytes(neighbour));
}

// Guards against news that stop crossing zones when both delegates die.
BOOST_AUTO_TEST_CASE(DelegatesFail)
{
  VirtualNetwork network(22);
  AddZones(network, 7);
  network.RunUntil([&] { return AllSeeAll(network); }, 60s);
  for (const EntryId& delegate : ListDelegates(network, "helwan")) {
    network.Get(delegate).isKilled_ = true;
  }
  network.Run(5s);
  BOOST_TEST(ListDelegates(network, "helwan").size() == 2U);
  const auto taken = network.RunUntil([&] { return AllSeeAll(network); }, 60s);
  BOOST_REQUIRE(taken.has_value());
  BOOST_TEST_MESSAGE("deaths known everywhere after " << 5 + ToSeconds(*taken)
                                                      << " s");
}

// Guards against a zone cut off from the others that loses its own members, and
// against one that does not take part again after healing.
BOOST_AUTO_TEST_CASE(CutOffZoneGoesOnAndMerges)
{
  VirtualNetwork network(23);
  AddZones(network, 7);
  network.RunUntil([&] { return AllSeeAll(network); }, 60s);
  network.isCut_ = [&](const EntryId& aFirst, const EntryId& aSecond) {
    const auto& first = network.Get(aFirst).settings_.zone_.GetValue();
    const auto& second = network.Get(aSecond).settings_.zone_.GetValue();
    return (first == "helwan") != (second == "helwan");
  };
  network.Run(60s);
  BOOST_TEST(network.ZonesAreComplete());
  const EntryId joined = network.Add("helwan");
  // The new entry finds its zone, since the seed of its zone is in it.
  network.Run(30s);
  BOOST_TEST(network.ZonesAreComplete());
  network.isCut_ = nullptr;
  const auto taken = network.RunUntil([&] { return AllSeeAll(network); }, 60s);
  BOOST_REQUIRE(taken.has_value());
  BOOST_TEST_MESSAGE("merged after " << ToSeconds(*taken) << " s");
}

// Guards against spill decisions without news of other zones, and against
// summaries that outlive the link to their zone.
BOOST_AUTO_TEST_CASE(SummariesCrossZonesAndExpire)
{
  VirtualNetwork network(24);
  AddZones(network, 7);
  network.RunUntil([&] { return AllSeeAll(network); }, 60s);
  const EntryId source = ListDelegates(network, "helwan").front();
  const EntryId reader = ListDelegates(network, "obour").front();
  const auto& summaries = network.Get(reader).view_->GetSummaries();
  const auto publishFor = [&](int aSeconds) {
    for (int second = 0; second < aSeconds; ++second) {
      PublishGroup(network, source, 750);
      network.Run(1s);
    }
  };
  publishFor(25);
  const auto items = summaries.ListZones(network.GetNow());
  BOOST_REQUIRE(items.size() == 1U);
  BOOST_TEST(items[0].summary_.zone() == "helwan");
  BOOST_TEST(items[0].summary_.saturation() == 750U);
  BOOST_TEST(items[0].summary_.queue_length() == 3U);
  // The summary of a single group stays in its zone.
  BOOST_TEST(summaries.ListGroups(network.GetNow()).empty());
  network.isCut_ = [&](const EntryId& aFirst, const EntryId& aSecond) {
    return network.Get(aFirst).settings_.zone_ !=
           network.Get(aSecond).settings_.zone_;
  };
  publishFor(40);
  BOOST_TEST(summaries.ListZones(network.GetNow()).empty());
  const EntryId neighbour =
    std::find_if(network.GetNodes().begin(),
                 network.GetNodes().end(),
                 [&](auto& aItem) {
                   return aItem.first != source &&
                          aItem.second.settings_.zone_.GetValue() == "helwan";
                 })
      ->first;
  BOOST_TEST(network.Get(neighbour)
               .view_->GetSummaries()
               .ListGroups(network.GetNow())
               .size() == 1U);
}

// Guards against a table revision that does not reach all zones.
BOOST_AUTO_TEST_CASE(RevisionReachesAllZones)
{
  VirtualNetwork network(25);
  AddZones(network, 7);
  network.RunUntil([&] { return AllSeeAll(network); }, 60s);
  auto& first = *network.GetNodes().begin()->second.view_;
  first.SetTableRevision(17);
  const auto taken = network.RunUntil(
    [&] {
      for (auto& [id, node] : network.GetNodes()) {
        if (node.view_->GetHighestRevision() != 17) {
          return false;
        }
      }
      return true;
    },
    60s);
  BOOST_REQUIRE(taken.has_value());
  BOOST_TEST_MESSAGE("known everywhere after " << ToSeconds(*taken) << " s");
}

// Measures the load by role at 800 daemons for docs/CAPACITY.md, and guards
// against a plain entry whose load depends on the number of zones. It did not
// finish in 220 s on a busy machine, so it runs only when it is named.
BOOST_AUTO_TEST_CASE(FleetLoad, *boost::unit_test::disabled())
{
  constexpr int kFleetZones = 17;
  constexpr double kSeconds = 10.0;
  VirtualNetwork network(27);
  for (int zone = 0; zone < kFleetZones; ++zone) {
    network.AddZone("zone-" + std::to_string(zone), 47);
  }
  const auto runPublishing = [&](double aSeconds) {
    for (int second = 0; second < aSeconds; ++second) {
      for (int zone = 0; zone < kFleetZones; ++zone) {
        PublishGroup(
          network,
          std::next(network.GetNodes().begin(), std::ptrdiff_t{ 47 } * zone)
            ->first,
          500);
      }
      network.Run(1s);
    }
  };
  runPublishing(40);
  for (auto& [id, node] : network.GetNodes()) {
    node.sentMessages_ = 0;
    node.sentBytes_ = 0;
  }
  runPublishing(kSeconds);
  double plain = 0;
  double plainMessages = 0;
  double delegate = 0;
  double delegateMessages = 0;
  std::size_t known = 0;
  for (auto& [id, node] : network.GetNodes()) {
    const double bytes = static_cast<double>(node.sentBytes_) / kSeconds;
    const double messages = static_cast<double>(node.sentMessages_) / kSeconds;
    const bool isDelegate = node.view_->GetMembership().IsDelegate();
    double& most = isDelegate ? delegate : plain;
    most = std::max(most, bytes);
    double& mostMessages = isDelegate ? delegateMessages : plainMessages;
    mostMessages = std::max(mostMessages, messages);
    known += node.view_->GetMembership().ListZones().size() == kFleetZones;
  }
  BOOST_TEST_MESSAGE(
    known << " of " << network.GetNodes().size()
          << " know all zones; most sent by a plain entry " << plain
          << " bytes/s, " << plainMessages << " messages/s; by a delegate "
          << delegate << " bytes/s, " << delegateMessages << " messages/s");
  // Half of the budget of 25 KB/s, since as much is received.
  BOOST_TEST(plain < 12'500);
  BOOST_TEST(delegate < 12'500);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross

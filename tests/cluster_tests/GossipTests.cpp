#include <boost/test/unit_test.hpp>

#include "VirtualNetwork.h"

namespace azurecross {

using namespace std::chrono_literals;

namespace {

void
PublishLeaving(VirtualNetwork& aNetwork,
               const EntryId& aEntry,
               const std::string& aBackendServer,
               Duration aLifetime = 60s)
{
  ClusterActions actions;
  aNetwork.GetGossip(aEntry).PublishLeaving(
    BackendServerId(aBackendServer), aLifetime, aNetwork.GetNow(), actions);
  aNetwork.Submit(aEntry, actions);
}

std::size_t
CountInformed(VirtualNetwork& aNetwork, const std::string& aBackendServer)
{
  std::size_t count = 0;
  for (auto& [id, node] : aNetwork.GetNodes()) {
    count += node.view_->GetGossip().IsLeaving(BackendServerId(aBackendServer));
  }
  return count;
}

void
PublishBytes(VirtualNetwork& aNetwork,
             const EntryId& aEntry,
             const std::string& aKey,
             const std::string& aBytes)
{
  wire::GossipRecord record;
  record.set_opaque(aBytes);
  ClusterActions actions;
  aNetwork.GetGossip(aEntry).Publish(
    aKey, record, GossipScope::Zone, 60s, aNetwork.GetNow(), actions);
  aNetwork.Submit(aEntry, actions);
}

std::map<std::string, std::string>
ReadBytes(VirtualNetwork& aNetwork, const EntryId& aEntry)
{
  std::map<std::string, std::string> values;
  aNetwork.GetGossip(aEntry).Visit(wire::GossipRecord::kOpaque,
                                   aNetwork.GetNow(),
                                   [&](const GossipItem& aItem) {
                                     values[aItem.record_->key()] =
                                       aItem.record_->opaque();
                                   });
  return values;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GossipOfZone)

// Guards against new work for a leaving backend server after 3 s, at 10% loss
// in the largest zone and without news from the VM list.
BOOST_AUTO_TEST_CASE(LeavingNoticeReachesTheZoneInThreeSeconds)
{
  VirtualNetwork network(30);
  network.AddZone("helwan", 47);
  network.Run(5s);
  BOOST_REQUIRE(network.ZonesAreComplete());
  network.loss_ = 0.1;
  auto origin = network.GetNodes().begin();
  for (int round = 0; round < 10; ++round) {
    const std::string engine = "engine-" + std::to_string(round);
    PublishLeaving(network, (origin++)->first, engine);
    const auto taken = network.RunUntil(
      [&] { return CountInformed(network, engine) == 47; }, 10s);
    BOOST_REQUIRE(taken.has_value());
    BOOST_TEST_MESSAGE("notice " << round << ": all informed after "
                                 << ToSeconds(*taken) << " s");
    BOOST_TEST((*taken <= 3s));
  }
}

// Guards against a notice lost with the entry that made it, and against one
// that is kept for ever.
BOOST_AUTO_TEST_CASE(LeavingNoticeOutlivesItsOriginButNotItsLifetime)
{
  VirtualNetwork network(41);
  network.AddZone("helwan", 8);
  network.Run(5s);
  const EntryId origin = network.GetNodes().begin()->first;
  PublishLeaving(network, origin, "engine-7", 30s);
  network.Run(2s);
  network.Get(origin).isKilled_ = true;
  network.Run(10s);
  BOOST_TEST(network.AllSee(origin, MemberState::Dead));
  BOOST_TEST(CountInformed(network, "engine-7") == 8U);
  network.Run(25s);
  // The killed node itself keeps its record.
  BOOST_TEST(CountInformed(network, "engine-7") == 1U);
}

// Guards against an entry that restarts and forgets a notice of its earlier
// process, which its peers still know.
BOOST_AUTO_TEST_CASE(RestartedOriginLearnsItsOwnNotice)
{
  VirtualNetwork network(42);
  network.AddZone("helwan", 8);
  network.Run(5s);
  const EntryId origin = network.GetNodes().begin()->first;
  PublishLeaving(network, origin, "engine-7");
  network.Run(2s);
  MembershipSettings settings = network.Get(origin).settings_;
  settings.incarnation_ = Incarnation(50'000);
  network.Start(settings);
  PublishLeaving(network, origin, "engine-8");
  network.Run(5s);
  BOOST_TEST(CountInformed(network, "engine-7") == 8U);
  BOOST_TEST(CountInformed(network, "engine-8") == 8U);
}

// Guards against records of a dead entry that other entries go on using.
BOOST_AUTO_TEST_CASE(RecordsEndWithTheirOrigin)
{
  VirtualNetwork network(43);
  network.AddZone("helwan", 8);
  network.Run(5s);
  const EntryId origin = network.GetNodes().begin()->first;
  const EntryId reader = network.GetNodes().rbegin()->first;
  PublishBytes(network, origin, "key", "value");
  network.Run(8s);
  BOOST_TEST(ReadBytes(network, reader).size() == 1U);
  network.Get(origin).isKilled_ = true;
  network.Run(15s);
  BOOST_TEST(ReadBytes(network, reader).empty());
}

// Guards against entries that end with different records, whatever the order
// of publications, loss and duplication.
BOOST_AUTO_TEST_CASE(RecordsConvergeUnderLoss)
{
  VirtualNetwork network(44);
  network.AddZone("helwan", 12);
  network.Run(5s);
  network.loss_ = 0.3;
  network.duplication_ = 0.2;
  Random random(9);
  std::vector<EntryId> ids;
  for (auto& [id, node] : network.GetNodes()) {
    ids.push_back(id);
  }
  for (int round = 0; round < 200; ++round) {
    const EntryId& origin = ids[random.DrawBelow(ids.size())];
    const std::string key =
      origin.GetValue() + "/" + std::to_string(random.DrawBelow(3));
    PublishBytes(network, origin, key, std::to_string(round));
    network.Run(50ms);
  }
  network.loss_ = 0.0;
  network.Run(15s);
  const auto expected = ReadBytes(network, ids.front());
  BOOST_TEST(expected.size() > 20U);
  for (const EntryId& id : ids) {
    BOOST_TEST((ReadBytes(network, id) == expected));
  }
}

// Guards against a withdrawn record that an entry keeps using.
BOOST_AUTO_TEST_CASE(WithdrawnRecordDisappears)
{
  VirtualNetwork network(45);
  network.AddZone("helwan", 6);
  network.Run(5s);
  const EntryId origin = network.GetNodes().begin()->first;
  PublishBytes(network, origin, "key", "value");
  network.Run(5s);
  ClusterActions actions;
  network.GetGossip(origin).Withdraw(
    "key", GossipScope::Zone, network.GetNow(), actions);
  network.Run(5s);
  for (auto& [id, node] : network.GetNodes()) {
    BOOST_TEST(ReadBytes(network, id).empty());
  }
}

// Guards against a backend server that stays but is avoided until its notice
// ends after a minute, and against a late copy that brings the notice back.
BOOST_AUTO_TEST_CASE(WithdrawnLeavingNoticeDoesNotComeBack)
{
  VirtualNetwork network(47);
  network.AddZone("helwan", 12);
  network.Run(5s);
  const EntryId origin = network.GetNodes().begin()->first;
  const BackendServerId server("engine-1");
  ClusterActions published;
  network.GetGossip(origin).PublishLeaving(
    server, 60s, network.GetNow(), published);
  network.Run(5s);
  const auto countLeaving = [&] {
    std::size_t count = 0;
    for (auto& [id, node] : network.GetNodes()) {
      count += network.GetGossip(id).IsLeaving(server) ? 1 : 0;
    }
    return count;
  };
  BOOST_TEST(countLeaving() == 12U);
  ClusterActions ignored;
  network.GetGossip(origin).WithdrawLeaving(server, network.GetNow(), ignored);
  network.Run(5s);
  BOOST_TEST(countLeaving() == 0U);
  BOOST_REQUIRE(!published.messages_.empty());
  wire::PeerMessage late = published.messages_.front().message_;
  late.set_sender(origin.GetValue());
  for (auto& [id, node] : network.GetNodes()) {
    network.GetGossip(id).HandleMessage(late, network.GetNow(), ignored);
  }
  BOOST_TEST(countLeaving() == 0U);
}

// Guards against messages that grow with the number of records: 590 leaving
// notices at once go out in bounded parts and still all arrive.
BOOST_AUTO_TEST_CASE(MessagesStayBounded)
{
  VirtualNetwork network(46);
  network.AddZone("helwan", 12);
  network.Run(5s);
  const EntryId origin = network.GetNodes().begin()->first;
  constexpr int kReplicas = 590;
  for (int replica = 0; replica < kReplicas; ++replica) {
    PublishLeaving(network, origin, "engine-" + std::to_string(replica));
  }
  network.Run(10s);
  for (auto& [id, node] : network.GetNodes()) {
    BOOST_TEST(node.view_->GetGossip().ListLeaving().size() == kReplicas);
    BOOST_TEST(node.largestMessage_ < Gossip::kDeltaBytes + 1024);
  }
}

// Guards against streams that stay behind when a digest does not hold them all.
BOOST_AUTO_TEST_CASE(ManyStreamsAreExchangedInParts)
{
  VirtualNetwork network(47);
  network.AddZone("helwan", 6);
  network.Run(5s);
  constexpr std::size_t kStreams = 3 * Gossip::kDigestStreams;
  const EntryId first = network.GetNodes().begin()->first;
  for (std::size_t index = 0; index < kStreams; ++index) {
    wire::PeerMessage message;
    wire::StreamDelta& stream = *message.mutable_gossip_delta()->add_streams();
    stream.set_origin("absent-" + std::to_string(index));
    stream.set_zone("helwan");
    stream.set_start(1);
    stream.set_complete_to(1);
    wire::GossipRecord& record = *stream.add_records();
    record.set_key(stream.origin());
    record.set_version(1);
    record.set_lifetime_ms(60'000);
    record.set_opaque("value");
    ClusterActions actions;
    network.GetGossip(first).HandleMessage(message, network.GetNow(), actions);
  }
  network.Run(20s);
  for (auto& [id, node] : network.GetNodes()) {
    BOOST_TEST(ReadBytes(network, id).size() == kStreams);
  }
}

// Guards against a member that is taken for dead in error and whose records are
// missing after its return.
BOOST_AUTO_TEST_CASE(RecordsOfAReturningMemberComeBack)
{
  VirtualNetwork network(48);
  network.AddZone("helwan", 8);
  network.Run(5s);
  const EntryId origin = network.GetNodes().begin()->first;
  const EntryId reader = network.GetNodes().rbegin()->first;
  PublishBytes(network, origin, "key", "value");
  network.Run(8s);
  network.Get(origin).isPaused_ = true;
  network.Run(10s);
  BOOST_TEST(ReadBytes(network, reader).empty());
  network.Get(origin).isPaused_ = false;
  network.Run(8s);
  BOOST_TEST(ReadBytes(network, reader).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross

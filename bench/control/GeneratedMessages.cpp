#include "GeneratedMessages.h"

#include "Scenario.h"

namespace azurecross {

namespace {

// Grant ids of a home entry are unique in time, so they are not small.
constexpr std::uint64_t kFirstGrant = 1ULL << 34;
constexpr int kRowBytes = 900;
constexpr int kPrefixHashes = 4;

} // namespace

EntryId
MakeEntryId(const std::string& aZone, int aIndex)
{
  return EntryId("entry-" + aZone + "-" + std::to_string(aIndex));
}

std::string
MakeZoneName(int aZone)
{
  return "zone-" + std::to_string(aZone);
}

GroupId
MakeGroupId(const std::string& aZone, int aGroup)
{
  return { PoolName("engines-" + std::to_string(aGroup % kPools)),
           AvailabilityZone(aZone),
           static_cast<std::uint32_t>(aGroup / kPools) };
}

wire::GroupSummary
MakeSummary(const GroupId& aGroup, std::uint32_t aSaturation)
{
  wire::GroupSummary summary;
  summary.set_pool(aGroup.pool_.GetValue());
  summary.set_zone(aGroup.zone_.GetValue());
  summary.set_shard(aGroup.shard_);
  summary.set_saturation(aSaturation);
  summary.set_queue_length(aSaturation / 10);
  summary.set_capacity_tokens(64ULL * 500'000);
  return summary;
}

wire::PeerMessage
MakeGrantRequest(const EntryId& aEntry, std::uint64_t aNumber)
{
  wire::PeerMessage message;
  wire::GrantRequest& request = *message.mutable_grant_request();
  request.set_request("0123456789abcdef-" + std::to_string(aNumber));
  request.set_entry(aEntry.GetValue());
  request.set_customer("customer-" + std::to_string(aNumber % 7200));
  request.set_rank(aNumber % 2 == 0 ? wire::URGENT : wire::LESSER);
  request.set_route("paint-assistant");
  request.set_pool("engines-" + std::to_string(aNumber % kPools));
  request.set_shard(0);
  request.set_model("assistant-large-" + std::to_string(aNumber % kPools));
  request.set_prompt_tokens(1800);
  request.set_output_limit(4096);
  for (int index = 0; index < kPrefixHashes; ++index) {
    request.add_prefix_hashes(aNumber * kPrefixHashes + index);
  }
  request.set_deadline_ms(2000);
  return message;
}

wire::PeerMessage
MakeGrantReply(const wire::GrantRequest& aRequest, std::uint64_t aGrant)
{
  wire::PeerMessage message;
  wire::GrantReply& reply = *message.mutable_grant_reply();
  reply.set_request(aRequest.request());
  reply.mutable_granted()->set_grant(kFirstGrant + aGrant);
  reply.mutable_granted()->set_backend_server(aRequest.pool() + "-0-17");
  return message;
}

wire::PeerMessage
MakeGrantRelease(std::uint64_t aGrant)
{
  wire::PeerMessage message;
  message.mutable_grant_release()->set_grant(kFirstGrant + aGrant);
  message.mutable_grant_release()->set_outcome("completed");
  message.mutable_grant_release()->set_tokens(386);
  return message;
}

wire::PeerMessage
MakeProgress(std::uint64_t aFirst, int aCount)
{
  wire::PeerMessage message;
  for (int index = 0; index < aCount; ++index) {
    auto& item = *message.mutable_grant_progress()->add_items();
    item.set_grant(kFirstGrant + aFirst + index);
    item.set_tokens(8);
  }
  return message;
}

wire::PeerMessage
MakeTableDelta(std::uint64_t aRevision)
{
  wire::PeerMessage message;
  wire::TableDelta& delta = *message.mutable_table_delta();
  delta.set_to_revision(aRevision);
  delta.set_update(std::string(kRowBytes, 'x'));
  return message;
}

wire::PeerMessage
MakeZoneSummaries(int aZone, std::uint64_t aRound)
{
  const std::string zone = MakeZoneName(aZone);
  wire::PeerMessage message;
  wire::StreamDelta& stream = *message.mutable_gossip_delta()->add_streams();
  stream.set_origin(MakeEntryId(zone, 0).GetValue());
  stream.set_zone(zone);
  stream.set_start(1);
  stream.set_all_zones(true);
  stream.set_complete_from(0);
  for (int pool = 0; pool < kPools; ++pool) {
    wire::GossipRecord& record = *stream.add_records();
    record.set_key("pool/engines-" + std::to_string(pool));
    record.set_version(aRound * kPools + pool + 1);
    record.set_lifetime_ms(30'000);
    *record.mutable_group() =
      MakeSummary(MakeGroupId(zone, pool), aRound % 1000);
    record.mutable_group()->set_whole_pool(true);
  }
  stream.set_complete_to((aRound + 1) * kPools);
  return message;
}

wire::PeerMessage
MakeZoneMembers(wire::Heartbeat::Kind aKind,
                int aZone,
                int aFirst,
                int aCount,
                std::uint64_t aIncarnation)
{
  const std::string zone = MakeZoneName(aZone);
  const auto makeMember = [&](int aIndex) {
    Member member;
    member.entry_ = MakeEntryId(zone, aIndex);
    member.incarnation_ = Incarnation(aIncarnation);
    member.zone_ = AvailabilityZone(zone);
    // Nothing listens there; the feeder drops what goes to other zones.
    member.address_ = { "127.0.0.1", 9 };
    return ToWire(member);
  };
  wire::PeerMessage message;
  message.set_sender(MakeEntryId(zone, 0).GetValue());
  wire::Heartbeat& heartbeat = *message.mutable_heartbeat();
  heartbeat.set_kind(aKind);
  *heartbeat.mutable_self() = makeMember(0);
  for (int index = aFirst; index < aFirst + aCount; ++index) {
    *heartbeat.add_updates() = makeMember(index);
  }
  return message;
}

} // namespace azurecross

#include "Gossip.h"

#include <algorithm>
#include <set>

namespace azurecross {

namespace {

constexpr Duration kWithdrawnLifetime = std::chrono::minutes(1);

std::string
MakeLeavingKey(const BackendServerId& aServer)
{
  return "leaving/" + aServer.GetValue();
}

} // namespace

Gossip::Gossip(EntryId aSelf,
               Incarnation aStart,
               AvailabilityZone aZone,
               Time aNow,
               std::uint64_t aSeed,
               DeathCheck aIsDead)
  : self_(std::move(aSelf))
  , start_(aStart)
  , zone_(std::move(aZone))
  , random_(aSeed)
  , isDead_(std::move(aIsDead))
  // Spreads the exchanges of entries that start together.
  , nextExchange_(aNow + random_.Jitter(kExchangeInterval, 1.0))
  , nextZoneExchange_(aNow + random_.Jitter(kZoneInterval, 1.0))
  , nextExpiry_(aNow)
  , allowanceSince_(aNow)
{
}

void
Gossip::SetPeers(std::vector<Member> aZonePeers,
                 std::vector<Member> aOtherDelegates)
{
  zonePeers_ = std::move(aZonePeers);
  otherDelegates_ = std::move(aOtherDelegates);
}

void
Gossip::DropOrigin(const EntryId& aOrigin)
{
  if (aOrigin != self_) {
    store_.DropOrigin(aOrigin);
  }
}

void
Gossip::Publish(const std::string& aKey,
                wire::GossipRecord aValue,
                GossipScope aScope,
                Duration aLifetime,
                Time aNow,
                ClusterActions& aActions)
{
  aValue.set_lifetime_ms(static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aLifetime).count()));
  const wire::StreamDelta delta =
    PublishRecord(aKey, std::move(aValue), aScope, aNow);
  if (delta.records(0).has_leaving()) {
    notices_.push_back({ delta, kForwardRounds, aNow });
    ForwardNotices(aNow, aActions);
  }
}

wire::StreamDelta
Gossip::PublishRecord(const std::string& aKey,
                      wire::GossipRecord aValue,
                      GossipScope aScope,
                      Time aNow)
{
  const RecordStore::StreamId id{ self_, zone_, start_, aScope };
  const std::uint64_t version =
    ++lastVersions_.at(static_cast<std::size_t>(aScope));
  wire::StreamDelta delta;
  delta.set_origin(self_.GetValue());
  delta.set_zone(zone_.GetValue());
  delta.set_start(start_.GetValue());
  delta.set_all_zones(aScope == GossipScope::AllZones);
  delta.set_complete_from(store_.Ensure(id).completeTo_);
  delta.set_complete_to(version);
  aValue.set_key(aKey);
  aValue.set_version(version);
  aValue.set_age_ms(0);
  *delta.add_records() = std::move(aValue);
  store_.Merge(delta, aNow);
  return delta;
}

void
Gossip::PublishAgain(Time aNow)
{
  for (const GossipScope scope : { GossipScope::Zone, GossipScope::AllZones }) {
    const RecordStore::StreamId id{ self_, zone_, start_, scope };
    for (wire::GossipRecord& record : store_.TakeRecords(id, aNow)) {
      const std::string key = record.key();
      PublishRecord(key, std::move(record), scope, aNow);
    }
  }
}

void
Gossip::Withdraw(const std::string& aKey,
                 GossipScope aScope,
                 Time aNow,
                 ClusterActions& aActions)
{
  wire::GossipRecord record;
  record.set_withdrawn(true);
  Publish(aKey, std::move(record), aScope, kWithdrawnLifetime, aNow, aActions);
}

void
Gossip::PublishLeaving(const BackendServerId& aBackendServer,
                       Duration aLifetime,
                       Time aNow,
                       ClusterActions& aActions)
{
  wire::GossipRecord record;
  record.mutable_leaving()->set_backend_server(aBackendServer.GetValue());
  Publish(MakeLeavingKey(aBackendServer),
          std::move(record),
          GossipScope::Zone,
          aLifetime,
          aNow,
          aActions);
}

void
Gossip::WithdrawLeaving(const BackendServerId& aBackendServer,
                        Time aNow,
                        ClusterActions& aActions)
{
  Withdraw(MakeLeavingKey(aBackendServer), GossipScope::Zone, aNow, aActions);
}

bool
Gossip::IsLeaving(const BackendServerId& aBackendServer) const
{
  const std::string key = MakeLeavingKey(aBackendServer);
  return std::any_of(store_.GetStreams().begin(),
                     store_.GetStreams().end(),
                     [&](const auto& aItem) {
                       const auto& records = aItem.second.records_;
                       const auto found = records.find(key);
                       return found != records.end() &&
                              found->second.record_.has_leaving();
                     });
}

std::vector<BackendServerId>
Gossip::ListLeaving() const
{
  std::set<BackendServerId> leaving;
  for (const auto& [hash, stream] : store_.GetStreams()) {
    for (const auto& [key, stored] : stream.records_) {
      if (stored.record_.has_leaving()) {
        leaving.emplace(stored.record_.leaving().backend_server());
      }
    }
  }
  return { leaving.begin(), leaving.end() };
}

void
Gossip::Visit(wire::GossipRecord::ValueCase aKind,
              Time aNow,
              const std::function<void(const GossipItem&)>& aVisitor) const
{
  for (const auto& [hash, stream] : store_.GetStreams()) {
    for (const auto& [key, stored] : stream.records_) {
      if (stored.record_.value_case() == aKind) {
        aVisitor({ stream.id_.origin_,
                   stream.id_.zone_,
                   &stored.record_,
                   aNow - stored.published_ });
      }
    }
  }
}

void
Gossip::RaiseTableRevision(std::uint64_t aRevision)
{
  revision_ = std::max(revision_, aRevision);
}

void
Gossip::Tick(Time aNow, ClusterActions& aActions)
{
  if (aNow >= nextExpiry_) {
    nextExpiry_ = aNow + kExpiryInterval;
    store_.DropExpired(aNow);
  }
  ForwardNotices(aNow, aActions);
  if (aNow >= nextExchange_) {
    nextExchange_ = aNow + random_.Jitter(kExchangeInterval, 0.2);
    if (!zonePeers_.empty()) {
      SendDigest(zonePeers_[random_.DrawBelow(zonePeers_.size())], aActions);
    }
  }
  if (aNow >= nextZoneExchange_) {
    nextZoneExchange_ = aNow + random_.Jitter(kZoneInterval, 0.2);
    if (!otherDelegates_.empty()) {
      SendDigest(otherDelegates_[random_.DrawBelow(otherDelegates_.size())],
                 aActions);
    }
  }
}

} // namespace azurecross

// The part of Gossip that exchanges messages with peers.
#include "Gossip.h"

#include <algorithm>
#include <map>

namespace azurecross {

namespace {

/** @returns the versions in a digest by stream; extra fields are ignored. */
std::map<std::uint64_t, std::uint64_t>
ReadVersions(const wire::GossipDigest& aDigest)
{
  std::map<std::uint64_t, std::uint64_t> versions;
  const int count = std::min(aDigest.streams_size(), aDigest.versions_size());
  for (int index = 0; index < count; ++index) {
    versions[aDigest.streams(index)] = aDigest.versions(index);
  }
  return versions;
}

} // namespace

const Member*
Gossip::FindPeer(const std::string& aEntry) const
{
  for (const auto* peers : { &zonePeers_, &otherDelegates_ }) {
    for (const Member& peer : *peers) {
      if (peer.entry_.GetValue() == aEntry) {
        return &peer;
      }
    }
  }
  return nullptr;
}

bool
Gossip::IsForZone(const RecordStore::Stream& aStream,
                  const AvailabilityZone& aZone) const
{
  if (aZone == zone_) {
    return true;
  }
  // The receiver's zone knows its own records better than this entry.
  return aStream.id_.scope_ == GossipScope::AllZones &&
         aStream.id_.zone_ != aZone;
}

bool
Gossip::IsOwn(const RecordStore::Stream& aStream) const
{
  return aStream.id_.origin_ == self_ && aStream.id_.start_ == start_;
}

void
Gossip::HandleMessage(const wire::PeerMessage& aMessage,
                      Time aNow,
                      ClusterActions& aActions)
{
  if (aMessage.has_gossip_delta()) {
    HandleDelta(aMessage.gossip_delta(), aNow, aActions);
    return;
  }
  // A digest of an unknown entry is not answered: membership learns it first.
  const Member* sender = FindPeer(aMessage.sender());
  if (aMessage.has_gossip_digest() && sender != nullptr) {
    HandleDigest(aMessage.gossip_digest(), Member(*sender), aNow, aActions);
  }
}

void
Gossip::HandleDigest(const wire::GossipDigest& aDigest,
                     const Member& aSender,
                     Time aNow,
                     ClusterActions& aActions)
{
  RaiseTableRevision(aDigest.table_revision());
  const auto versions = ReadVersions(aDigest);
  std::size_t messages = 0;
  std::size_t used = 0;
  wire::PeerMessage message;
  const auto sendDelta = [&] {
    message.mutable_gossip_delta()->set_table_revision(revision_);
    aActions.messages_.push_back(
      { aSender.entry_, aSender.address_, std::move(message), false });
    message = {};
    used = 0;
    ++messages;
  };
  const auto end = store_.GetStreams().end();
  auto item = store_.GetStreams().lower_bound(
    aDigest.is_request() ? 0 : aDigest.range_from());
  for (; item != end && messages < kDeltasPerDigest; ++item) {
    const auto& [hash, stream] = *item;
    if (!aDigest.is_request() && hash > aDigest.range_to()) {
      break;
    }
    const auto listed = versions.find(hash);
    if (!IsForZone(stream, aSender.zone_) ||
        (aDigest.is_request() && listed == versions.end())) {
      continue;
    }
    const std::uint64_t theirs = listed == versions.end() ? 0 : listed->second;
    // A stream without records is not worth a new start at the receiver.
    if (stream.completeTo_ <= theirs ||
        (theirs == 0 && stream.records_.empty())) {
      continue;
    }
    if (used >= kDeltaBytes / 2) {
      sendDelta();
    }
    used += store_.BuildDelta(stream,
                              theirs,
                              kDeltaBytes - used,
                              aNow,
                              *message.mutable_gossip_delta()->add_streams());
  }
  if (used > 0) {
    sendDelta();
  }
  if (!aDigest.is_request()) {
    RequestMissing(aDigest, aSender, aActions);
  }
}

void
Gossip::RequestMissing(const wire::GossipDigest& aDigest,
                       const Member& aSender,
                       ClusterActions& aActions)
{
  wire::PeerMessage message;
  wire::GossipDigest& request = *message.mutable_gossip_digest();
  for (const auto& [hash, version] : ReadVersions(aDigest)) {
    const RecordStore::Stream* stream = store_.Find(hash);
    const std::uint64_t mine = stream == nullptr ? 0 : stream->completeTo_;
    const bool isOwn = stream != nullptr && IsOwn(*stream);
    if (version > mine && !isOwn &&
        request.streams_size() < static_cast<int>(kDigestStreams)) {
      request.add_streams(hash);
      request.add_versions(mine);
    }
  }
  if (request.streams_size() == 0) {
    return;
  }
  request.set_is_request(true);
  request.set_zone(zone_.GetValue());
  request.set_table_revision(revision_);
  aActions.messages_.push_back(
    { aSender.entry_, aSender.address_, std::move(message), false });
}

void
Gossip::HandleDelta(const wire::GossipDelta& aDelta,
                    Time aNow,
                    ClusterActions& aActions)
{
  RaiseTableRevision(aDelta.table_revision());
  for (const wire::StreamDelta& stream : aDelta.streams()) {
    const bool isOutOfScope =
      !stream.all_zones() && stream.zone() != zone_.GetValue();
    const bool isOwn = stream.origin() == self_.GetValue() &&
                       stream.start() == start_.GetValue();
    if (isOwn || stream.origin().empty() || isOutOfScope) {
      continue;
    }
    MergeStream(stream, aNow);
  }
  ForwardNotices(aNow, aActions);
}

void
Gossip::MergeStream(const wire::StreamDelta& aDelta, Time aNow)
{
  // Peers that have not seen a death yet still send the origin's records. Its
  // leaving notices stay true.
  const bool isDead = isDead_ && isDead_(EntryId(aDelta.origin()));
  wire::StreamDelta delta = aDelta;
  if (isDead) {
    auto* records = delta.mutable_records();
    records->erase(std::remove_if(records->begin(),
                                  records->end(),
                                  [](const auto& aRecord) {
                                    return !aRecord.has_leaving();
                                  }),
                   records->end());
  }
  for (wire::GossipRecord& record : store_.Merge(delta, aNow)) {
    if (!record.has_leaving()) {
      continue;
    }
    wire::StreamDelta forwarded;
    forwarded.set_origin(delta.origin());
    forwarded.set_zone(delta.zone());
    forwarded.set_start(delta.start());
    forwarded.set_all_zones(delta.all_zones());
    // Only an entry that has all before this record becomes complete.
    forwarded.set_complete_from(record.version() - 1);
    forwarded.set_complete_to(record.version());
    *forwarded.add_records() = std::move(record);
    notices_.push_back({ std::move(forwarded), kForwardRounds, aNow });
  }
}

void
Gossip::ForwardNotices(Time aNow, ClusterActions& aActions)
{
  wire::PeerMessage message;
  std::size_t bytes = 0;
  for (Notice& notice : notices_) {
    if (aNow < notice.due_ || bytes >= kDeltaBytes / 2) {
      continue;
    }
    *message.mutable_gossip_delta()->add_streams() = notice.delta_;
    bytes += notice.delta_.ByteSizeLong();
    --notice.rounds_;
    notice.due_ = aNow + kForwardInterval;
  }
  if (bytes == 0) {
    return;
  }
  std::erase_if(notices_,
                [](const Notice& aNotice) { return aNotice.rounds_ == 0; });
  message.mutable_gossip_delta()->set_table_revision(revision_);
  forwardAllowance_ = std::min(
    kForwardsPerSecond,
    forwardAllowance_ + kForwardsPerSecond * ToSeconds(aNow - allowanceSince_));
  allowanceSince_ = aNow;
  for (std::size_t index = 0; index < kForwardFanout; ++index) {
    if (zonePeers_.empty() || forwardAllowance_ < 1.0) {
      return;
    }
    forwardAllowance_ -= 1.0;
    const Member& peer = zonePeers_[random_.DrawBelow(zonePeers_.size())];
    aActions.messages_.push_back(
      { peer.entry_, peer.address_, message, false });
  }
}

void
Gossip::SendDigest(const Member& aReceiver, ClusterActions& aActions)
{
  wire::PeerMessage message;
  wire::GossipDigest& digest = *message.mutable_gossip_digest();
  const auto& streams = store_.GetStreams();
  auto item = streams.lower_bound(digestCursor_);
  digest.set_range_from(digestCursor_);
  digest.set_range_to(UINT64_MAX);
  digestCursor_ = 0;
  for (; item != streams.end(); ++item) {
    if (digest.streams_size() == static_cast<int>(kDigestStreams)) {
      digest.set_range_to(item->first - 1);
      digestCursor_ = item->first;
      break;
    }
    const bool isShared = aReceiver.zone_ == zone_ ||
                          item->second.id_.scope_ == GossipScope::AllZones;
    if (isShared && !item->second.records_.empty()) {
      digest.add_streams(item->first);
      digest.add_versions(item->second.completeTo_);
    }
  }
  digest.set_zone(zone_.GetValue());
  digest.set_table_revision(revision_);
  aActions.messages_.push_back(
    { aReceiver.entry_, aReceiver.address_, std::move(message), false });
}

} // namespace azurecross

#include "RecordStore.h"

#include <algorithm>
#include <utility>

namespace azurecross {

namespace {

/** Tag, length and the age, which a stored record does not have. */
constexpr std::size_t kRecordOverhead = 10;

Duration
ReadAge(const RecordStore::Stored& aStored, Time aNow)
{
  return std::max(aNow - aStored.published_, Duration::zero());
}

bool
IsExpired(const RecordStore::Stored& aStored, Time aNow)
{
  return ReadAge(aStored, aNow) >=
         std::chrono::milliseconds(aStored.record_.lifetime_ms());
}

} // namespace

std::uint64_t
RecordStore::StreamId::Hash() const
{
  const std::uint64_t seed =
    start_.GetValue() * 2 + (scope_ == GossipScope::Zone ? 0 : 1);
  return HashBytes(origin_.GetValue(), seed);
}

RecordStore::Stream&
RecordStore::Ensure(const StreamId& aId)
{
  const auto [found, isNew] = streams_.try_emplace(aId.Hash());
  if (isNew) {
    found->second.id_ = aId;
  }
  return found->second;
}

const RecordStore::Stream*
RecordStore::Find(std::uint64_t aHash) const
{
  const auto found = streams_.find(aHash);
  return found == streams_.end() ? nullptr : &found->second;
}

std::vector<wire::GossipRecord>
RecordStore::Merge(const wire::StreamDelta& aDelta, Time aNow)
{
  Stream& stream =
    Ensure({ EntryId(aDelta.origin()),
             AvailabilityZone(aDelta.zone()),
             Incarnation(aDelta.start()),
             aDelta.all_zones() ? GossipScope::AllZones : GossipScope::Zone });
  std::vector<wire::GossipRecord> added;
  for (const wire::GossipRecord& record : aDelta.records()) {
    const Stored incoming{ record,
                           aNow - std::chrono::milliseconds(record.age_ms()) };
    const auto known = stream.records_.find(record.key());
    const bool isOlder = known != stream.records_.end() &&
                         known->second.record_.version() >= record.version();
    // A record that the stream is complete beyond has been replaced or has
    // expired here.
    const bool isPast =
      known == stream.records_.end() && record.version() <= stream.completeTo_;
    if (isOlder || isPast || IsExpired(incoming, aNow)) {
      continue;
    }
    stream.records_.insert_or_assign(record.key(), incoming);
    stream.emptySince_.reset();
    added.push_back(record);
  }
  if (aDelta.complete_from() <= stream.completeTo_) {
    stream.completeTo_ = std::max(stream.completeTo_, aDelta.complete_to());
  }
  return added;
}

std::size_t
RecordStore::BuildDelta(const Stream& aStream,
                        std::uint64_t aAfter,
                        std::size_t aMostBytes,
                        Time aNow,
                        wire::StreamDelta& aDelta) const
{
  aDelta.set_origin(aStream.id_.origin_.GetValue());
  aDelta.set_zone(aStream.id_.zone_.GetValue());
  aDelta.set_start(aStream.id_.start_.GetValue());
  aDelta.set_all_zones(aStream.id_.scope_ == GossipScope::AllZones);
  aDelta.set_complete_from(aAfter);
  std::map<std::uint64_t, const Stored*> ordered;
  for (const auto& [key, stored] : aStream.records_) {
    const std::uint64_t version = stored.record_.version();
    if (version > aAfter && version <= aStream.completeTo_ &&
        !IsExpired(stored, aNow)) {
      ordered.emplace(version, &stored);
    }
  }
  std::size_t bytes = aDelta.ByteSizeLong();
  std::uint64_t completeTo = aAfter;
  for (const auto& [version, stored] : ordered) {
    const std::size_t size = stored->record_.ByteSizeLong();
    if (bytes + size + kRecordOverhead > aMostBytes &&
        aDelta.records_size() > 0) {
      aDelta.set_complete_to(completeTo);
      return bytes;
    }
    wire::GossipRecord& record = *aDelta.add_records();
    record = stored->record_;
    record.set_age_ms(static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(ReadAge(*stored, aNow))
        .count()));
    bytes += size + kRecordOverhead;
    completeTo = version;
  }
  aDelta.set_complete_to(aStream.completeTo_);
  return bytes;
}

void
RecordStore::DropExpired(Time aNow)
{
  for (auto& [hash, stream] : streams_) {
    std::erase_if(stream.records_, [&](const auto& aItem) {
      return IsExpired(aItem.second, aNow);
    });
    if (stream.records_.empty() && !stream.emptySince_) {
      stream.emptySince_ = aNow;
    }
  }
  std::erase_if(streams_, [&](const auto& aItem) {
    const auto& emptySince = aItem.second.emptySince_;
    return emptySince && aNow - *emptySince >= kKeepEmpty;
  });
}

void
RecordStore::DropOrigin(const EntryId& aOrigin)
{
  for (auto& [hash, stream] : streams_) {
    if (stream.id_.origin_ != aOrigin) {
      continue;
    }
    std::erase_if(stream.records_, [](const auto& aItem) {
      return !aItem.second.record_.has_leaving();
    });
  }
}

std::vector<wire::GossipRecord>
RecordStore::TakeRecords(const StreamId& aId, Time aNow)
{
  std::vector<wire::GossipRecord> taken;
  const auto found = streams_.find(aId.Hash());
  if (found == streams_.end()) {
    return taken;
  }
  for (auto& [key, stored] : std::exchange(found->second.records_, {})) {
    if (IsExpired(stored, aNow)) {
      continue;
    }
    const auto left = std::chrono::milliseconds(stored.record_.lifetime_ms()) -
                      ReadAge(stored, aNow);
    stored.record_.set_lifetime_ms(static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(left).count()));
    taken.push_back(std::move(stored.record_));
  }
  return taken;
}

std::size_t
RecordStore::CountRecords() const
{
  std::size_t count = 0;
  for (const auto& [hash, stream] : streams_) {
    count += stream.records_.size();
  }
  return count;
}

} // namespace azurecross

#include "ServerDirectory.h"

#include <algorithm>
#include <limits>

namespace azurecross {

namespace {

/** Time for which it is remembered that a server leaves; longer than a server
 * serves after that, and than its registration may be restored with a backup of
 * the store. */
constexpr Duration kLeavingLifetime = std::chrono::minutes(10);
/** The same for a server whose registration was removed. Shorter, because a
 * live server may have been unable to renew it: a restored registration that
 * stays is valid. */
constexpr Duration kRemovedLifetime = std::chrono::seconds(15);
/** No registration of the process is newer. */
constexpr std::uint64_t kLastSequence =
  std::numeric_limits<std::uint64_t>::max();

} // namespace

ServerChange
ServerDirectory::Update(const ServerRecord& aRecord, Time aNow)
{
  missingSince_.erase(aRecord.id_);
  ServerRecord record = aRecord;
  if (IsOutdated(record)) {
    record.state_ = ServerState::Draining;
  } else if (record.state_ == ServerState::Draining) {
    RememberLeaving(record.id_,
                    { record.startedUnixMs_,
                      record.sequence_,
                      aNow + kLeavingLifetime,
                      false });
  }
  const auto [position, isNew] = servers_.try_emplace(record.id_, record);
  if (isNew) {
    return ServerChange::Added;
  }
  ServerRecord& known = position->second;
  const bool isRestart = known.startedUnixMs_ != record.startedUnixMs_;
  if (!isRestart) {
    known.sequence_ = std::max(known.sequence_, record.sequence_);
    record.sequence_ = known.sequence_;
  }
  if (known == record) {
    return ServerChange::None;
  }
  const bool beganDraining = known.state_ == ServerState::Ready &&
                             record.state_ == ServerState::Draining;
  known = record;
  if (isRestart) {
    return ServerChange::Restarted;
  }
  return beganDraining ? ServerChange::BeganDraining : ServerChange::Updated;
}

void
ServerDirectory::RememberLeaving(const BackendServerId& aId, Leaving aLeaving)
{
  // Without a start time, the next process under the id looks the same.
  if (aLeaving.startedUnixMs_ != 0) {
    leaving_[aId] = aLeaving;
  }
}

bool
ServerDirectory::IsOutdated(const ServerRecord& aRecord) const
{
  const auto leaving = leaving_.find(aRecord.id_);
  return leaving != leaving_.end() &&
         leaving->second.startedUnixMs_ == aRecord.startedUnixMs_ &&
         aRecord.sequence_ <= leaving->second.lastSequence_;
}

bool
ServerDirectory::MarkDraining(const BackendServerId& aId)
{
  const auto found = servers_.find(aId);
  if (found == servers_.end() ||
      found->second.state_ == ServerState::Draining) {
    return false;
  }
  found->second.state_ = ServerState::Draining;
  return true;
}

bool
ServerDirectory::MarkLeaving(const BackendServerId& aId, Time aNow)
{
  const auto found = servers_.find(aId);
  if (found == servers_.end()) {
    return false;
  }
  leaving_[aId] = Leaving{
    found->second.startedUnixMs_, kLastSequence, aNow + kLeavingLifetime, false
  };
  return MarkDraining(aId);
}

ServerChange
ServerDirectory::Remove(const BackendServerId& aId, Time aNow)
{
  missingSince_.erase(aId);
  // Without a start time, the next process under the id looks the same.
  std::erase_if(leaving_, [&](const auto& aEntry) {
    return aEntry.first == aId && aEntry.second.startedUnixMs_ == 0;
  });
  const auto found = servers_.find(aId);
  if (found == servers_.end()) {
    return ServerChange::None;
  }
  if (!IsOutdated(found->second)) {
    RememberLeaving(aId,
                    { found->second.startedUnixMs_,
                      found->second.sequence_,
                      aNow + kRemovedLifetime,
                      true });
  }
  servers_.erase(found);
  return ServerChange::Removed;
}

void
ServerDirectory::MarkMissing(const BackendServerId& aId, Time aNow)
{
  if (servers_.contains(aId)) {
    missingSince_.try_emplace(aId, aNow);
  }
}

std::vector<BackendServerId>
ServerDirectory::FindUnlisted(const std::set<BackendServerId>& aListed) const
{
  std::vector<BackendServerId> missing;
  for (const auto& [id, record] : servers_) {
    if (!aListed.contains(id)) {
      missing.push_back(id);
    }
  }
  return missing;
}

std::vector<BackendServerId>
ServerDirectory::RemoveExpired(Time aNow)
{
  std::erase_if(leaving_, [&](const auto& aEntry) {
    return !aEntry.second.isRemoved_ && aNow > aEntry.second.until_;
  });
  std::vector<BackendServerId> removed;
  for (auto at = missingSince_.begin(); at != missingSince_.end();) {
    if (aNow - at->second < gracePeriod_) {
      ++at;
      continue;
    }
    removed.push_back(at->first);
    servers_.erase(at->first);
    at = missingSince_.erase(at);
  }
  return removed;
}

std::vector<ServerRecord>
ServerDirectory::ReleaseRestored(Time aNow)
{
  std::vector<ServerRecord> released;
  std::erase_if(leaving_, [&](const auto& aEntry) {
    const auto& [id, leaving] = aEntry;
    if (!leaving.isRemoved_ || aNow <= leaving.until_) {
      return false;
    }
    const auto found = servers_.find(id);
    if (found != servers_.end() && IsOutdated(found->second)) {
      found->second.state_ = ServerState::Ready;
      released.push_back(found->second);
    }
    return true;
  });
  return released;
}

const ServerRecord*
ServerDirectory::Find(const BackendServerId& aId) const
{
  const auto found = servers_.find(aId);
  return found == servers_.end() ? nullptr : &found->second;
}

} // namespace azurecross

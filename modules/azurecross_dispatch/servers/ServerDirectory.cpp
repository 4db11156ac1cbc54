#include "ServerDirectory.h"

namespace azurecross {

namespace {

/** Time for which it is remembered that a server leaves; longer than a server
 * serves after that, and than its registration may be restored with a backup of
 * the store. */
constexpr Duration kLeavingLifetime = std::chrono::minutes(10);

} // namespace

ServerChange
ServerDirectory::Update(const ServerRecord& aRecord)
{
  missingSince_.erase(aRecord.id_);
  ServerRecord record = aRecord;
  const auto leaving = leaving_.find(record.id_);
  if (leaving != leaving_.end() &&
      leaving->second.startedUnixMs_ == record.startedUnixMs_) {
    record.state_ = ServerState::Draining;
  }
  const auto [position, isNew] = servers_.try_emplace(record.id_, record);
  if (isNew) {
    return ServerChange::Added;
  }
  ServerRecord& known = position->second;
  if (known == record) {
    return ServerChange::None;
  }
  const bool isRestart = known.startedUnixMs_ != record.startedUnixMs_;
  const bool beganDraining = known.state_ == ServerState::Ready &&
                             record.state_ == ServerState::Draining;
  known = record;
  if (isRestart) {
    return ServerChange::Restarted;
  }
  return beganDraining ? ServerChange::BeganDraining : ServerChange::Updated;
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
  leaving_[aId] = Leaving{ found->second.startedUnixMs_, aNow };
  return MarkDraining(aId);
}

ServerChange
ServerDirectory::Remove(const BackendServerId& aId)
{
  missingSince_.erase(aId);
  // Without a start time, the next process under the id looks the same.
  std::erase_if(leaving_, [&](const auto& aEntry) {
    return aEntry.first == aId && aEntry.second.startedUnixMs_ == 0;
  });
  return servers_.erase(aId) > 0 ? ServerChange::Removed : ServerChange::None;
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
    return aNow - aEntry.second.statedAt_ > kLeavingLifetime;
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

const ServerRecord*
ServerDirectory::Find(const BackendServerId& aId) const
{
  const auto found = servers_.find(aId);
  return found == servers_.end() ? nullptr : &found->second;
}

} // namespace azurecross

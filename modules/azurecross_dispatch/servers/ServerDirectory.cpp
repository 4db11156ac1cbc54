#include "ServerDirectory.h"

namespace azurecross {

ServerChange
ServerDirectory::Update(const ServerRecord& aRecord)
{
  missingSince_.erase(aRecord.id_);
  const auto [position, isNew] = servers_.try_emplace(aRecord.id_, aRecord);
  if (isNew) {
    return ServerChange::Added;
  }
  ServerRecord& known = position->second;
  if (known == aRecord) {
    return ServerChange::None;
  }
  const bool isRestart = known.startedUnixMs_ != aRecord.startedUnixMs_;
  const bool beganDraining = known.state_ == ServerState::Ready &&
                             aRecord.state_ == ServerState::Draining;
  known = aRecord;
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

ServerChange
ServerDirectory::Remove(const BackendServerId& aId)
{
  missingSince_.erase(aId);
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

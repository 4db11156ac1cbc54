#include "GroupDirectory.h"

namespace azurecross {

void
GroupDirectory::SetTables(Tables::Version aTables)
{
  tables_ = std::move(aTables);
}

void
GroupDirectory::SetVmList(VmList aVms)
{
  vms_ = std::move(aVms);
}

bool
GroupDirectory::IsLeaving(const BackendServerId& aServer) const
{
  const auto report = selfReports_.find(aServer);
  return report == selfReports_.end() ? notices_.contains(aServer)
                                      : report->second.isLeaving_;
}

bool
GroupDirectory::TakeSelfReport(const BackendServerId& aServer,
                               bool aIsLeaving,
                               Time aNow)
{
  const bool wasLeaving = IsLeaving(aServer);
  selfReports_[aServer] = { aIsLeaving, aNow };
  return wasLeaving != aIsLeaving;
}

bool
GroupDirectory::SetNotices(const std::vector<BackendServerId>& aServers)
{
  std::set<BackendServerId> notices(aServers.begin(), aServers.end());
  if (notices == notices_) {
    return false;
  }
  notices_ = std::move(notices);
  return true;
}

bool
GroupDirectory::DropOldSelfReports(Time aNow)
{
  bool isChange = false;
  std::erase_if(selfReports_, [&](const auto& aItem) {
    const auto& [server, report] = aItem;
    const bool isOld = aNow - report.since_ > kSelfReportLifetime;
    isChange =
      isChange || (isOld && report.isLeaving_ != notices_.contains(server));
    return isOld;
  });
  return isChange;
}

std::shared_ptr<const GroupMap>
GroupDirectory::Build() const
{
  auto map = std::make_shared<GroupMap>();
  if (tables_ == nullptr) {
    return map;
  }
  for (const auto& pool : tables_->GetPools()) {
    AddPool(*pool, *map);
  }
  return map;
}

void
GroupDirectory::AddPool(const Pool& aPool, GroupMap& aMap) const
{
  std::map<AvailabilityZone, std::vector<BackendServer>> byZone;
  for (BackendServer& server : ResolveBackendServers(aPool, vms_)) {
    server.isLeaving_ = server.isLeaving_ || IsLeaving(server.id_);
    byZone[server.availabilityZone_].push_back(std::move(server));
  }
  for (auto& [zone, servers] : byZone) {
    const auto shards = static_cast<std::uint32_t>(
      (servers.size() + kGroupSize - 1) / kGroupSize);
    aMap.shards_[{ aPool.name_, zone }] = shards;
    for (BackendServer& server : servers) {
      const auto shard =
        static_cast<std::uint32_t>(HashBytes(server.id_.GetValue()) % shards);
      BackendServerDescription description;
      description.id_ = server.id_;
      description.maxConcurrent_ =
        static_cast<std::uint32_t>(aPool.maxConcurrent_);
      description.isLeaving_ = server.isLeaving_;
      if (aPool.kind_ == PoolKind::Engine) {
        description.models_ = aPool.models_;
        description.memoryTokens_ =
          static_cast<std::uint32_t>(aPool.memoryTokens_);
      }
      auto& group = aMap.groups_[{ aPool.name_, zone, shard }];
      group.kind_ = aPool.kind_;
      group.servers_.push_back(std::move(description));
      const BackendServerId id = server.id_;
      aMap.servers_.emplace(id, std::move(server));
    }
  }
}

} // namespace azurecross

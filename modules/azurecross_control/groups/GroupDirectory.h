#pragma once

#include <azurecross_cluster/azurecross_cluster.h>
#include <azurecross_core/azurecross_core.h>
#include <azurecross_policy/azurecross_policy.h>
#include <azurecross_tables/azurecross_tables.h>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace azurecross {

/** One version of the arbitration groups and their backend servers. */
struct GroupMap
{
  struct Group
  {
    PoolKind kind_ = PoolKind::Engine;
    std::vector<BackendServerDescription> servers_;
  };

  std::map<GroupId, Group> groups_;
  /** Shards of a pool in a zone; each pool and zone with servers is listed. */
  std::map<std::pair<PoolName, AvailabilityZone>, std::uint32_t> shards_;
  std::unordered_map<BackendServerId, BackendServer> servers_;
};

/**
 * Divides the backend servers of all pools into arbitration groups, from the
 * active tables, the platform's VM list and leaving notices.
 *
 * A server is filed in a shard by the hash of its id, so that a replaced server
 * does not move others; the number of shards follows the size of the pool.
 */
class GroupDirectory
{
public:
  /** Aim for the size of a group; one group scans its servers per grant. */
  static constexpr std::size_t kGroupSize = 64;

  void SetTables(Tables::Version aTables);
  void SetVmList(VmList aVms);
  /** How long what a backend server reports of itself outweighs peers' notices.
   */
  static constexpr Duration kSelfReportLifetime = std::chrono::seconds(5);

  /**
   * Takes what a backend server reports of itself, which outweighs the notices
   * of peers: they can be left over from before it was replaced.
   * @returns whether that changes its state.
   */
  bool TakeSelfReport(const BackendServerId& aServer,
                      bool aIsLeaving,
                      Time aNow);
  /**
   * Takes all notices of entries that a backend server is leaving; with them
   * it gets no new work although the VM list lags.
   * @returns whether they have changed.
   */
  bool SetNotices(const std::vector<BackendServerId>& aServers);
  /** Forgets old self-reports. @returns whether that changes a server's state.
   */
  bool DropOldSelfReports(Time aNow);

  /** @returns the groups that follow from the current inputs. */
  std::shared_ptr<const GroupMap> Build() const;

private:
  struct SelfReport
  {
    bool isLeaving_ = false;
    Time since_;
  };

  bool IsLeaving(const BackendServerId& aServer) const;
  void AddPool(const Pool& aPool, GroupMap& aMap) const;

  Tables::Version tables_;
  VmList vms_;
  std::set<BackendServerId> notices_;
  std::unordered_map<BackendServerId, SelfReport> selfReports_;
};

} // namespace azurecross

#pragma once

#include "../groups/GroupDirectory.h"

#include <azurecross_cluster/azurecross_cluster.h>
#include <azurecross_core/azurecross_core.h>
#include <azurecross_policy/azurecross_policy.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace azurecross {

/**
 * Chooses the arbitration group that a request asks for a slot: one of the own
 * zone, or of another zone when the own one is saturated or has none.
 *
 * Within a zone, requests with the same prompt prefix go to the same shard,
 * whose engines may hold it.
 */
class GroupSelector
{
public:
  /** Says whether the home entry of a group is known. */
  using HomeCheck = std::function<bool(const GroupId&)>;

  GroupSelector(AvailabilityZone aOwnZone, std::uint64_t aSeed);

  void SetGroups(std::shared_ptr<const GroupMap> aGroups);
  /** Takes the saturation of a group; above 1 work waits there. */
  void SetSaturation(const GroupId& aGroup, double aSaturation);

  /** @returns the group, or nothing if no backend server can take it. */
  std::optional<GroupId> Choose(const PoolName& aPool,
                                const GrantRequest& aRequest,
                                const HomeCheck& aHasHome);

private:
  std::optional<GroupId> ChooseShard(const PoolName& aPool,
                                     const AvailabilityZone& aZone,
                                     const GrantRequest& aRequest);
  bool HasUsableServer(const GroupId& aGroup,
                       const GrantRequest& aRequest) const;
  double GetSaturation(const GroupId& aGroup) const;

  AvailabilityZone ownZone_;
  Random random_;
  std::shared_ptr<const GroupMap> groups_;
  std::map<GroupId, double> saturations_;
};

} // namespace azurecross

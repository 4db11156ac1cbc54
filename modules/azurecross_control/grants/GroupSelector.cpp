#include "GroupSelector.h"

#include <algorithm>

namespace azurecross {

namespace {

/** Above this saturation a group has no free slot and work spills over. */
constexpr double kSpillSaturation = 1.5;
/** A shard that holds the prompt's prefix is left above this saturation. */
constexpr double kPrefixSaturation = 1.2;
/** Another zone has to be better by this, so that lagging summaries don't move
 * work back and forth. */
constexpr double kSpillMargin = 0.25;

} // namespace

GroupSelector::GroupSelector(AvailabilityZone aOwnZone, std::uint64_t aSeed)
  : ownZone_(std::move(aOwnZone))
  , random_(aSeed)
  , groups_(std::make_shared<GroupMap>())
{
}

void
GroupSelector::SetGroups(std::shared_ptr<const GroupMap> aGroups)
{
  groups_ = std::move(aGroups);
}

void
GroupSelector::SetSaturation(const GroupId& aGroup, double aSaturation)
{
  saturations_[aGroup] = aSaturation;
}

std::optional<GroupId>
GroupSelector::Choose(const PoolName& aPool,
                      const GrantRequest& aRequest,
                      const HomeCheck& aHasHome)
{
  std::optional<GroupId> best = ChooseShard(aPool, ownZone_, aRequest);
  if (best && GetSaturation(*best) < kSpillSaturation) {
    return best;
  }
  for (const auto& [key, shards] : groups_->shards_) {
    if (key.first != aPool || key.second == ownZone_) {
      continue;
    }
    auto other = ChooseShard(aPool, key.second, aRequest);
    const bool isBetter =
      other && aHasHome(*other) &&
      (!best || GetSaturation(*other) < GetSaturation(*best) - kSpillMargin);
    if (isBetter) {
      best = std::move(other);
    }
  }
  return best;
}

std::optional<GroupId>
GroupSelector::ChooseShard(const PoolName& aPool,
                           const AvailabilityZone& aZone,
                           const GrantRequest& aRequest)
{
  const auto found = groups_->shards_.find({ aPool, aZone });
  if (found == groups_->shards_.end()) {
    return std::nullopt;
  }
  const std::uint32_t shards = found->second;
  const std::uint64_t preferred = aRequest.prefixHashes_.empty()
                                    ? random_.DrawBelow(shards)
                                    : aRequest.prefixHashes_.front();
  std::optional<GroupId> fallback;
  for (std::uint32_t offset = 0; offset < shards; ++offset) {
    GroupId group{ aPool,
                   aZone,
                   static_cast<std::uint32_t>((preferred + offset) % shards) };
    if (!HasUsableServer(group, aRequest)) {
      continue;
    }
    if (GetSaturation(group) < kPrefixSaturation) {
      return group;
    }
    if (!fallback) {
      fallback = std::move(group);
    }
  }
  return fallback;
}

bool
GroupSelector::HasUsableServer(const GroupId& aGroup,
                               const GrantRequest& aRequest) const
{
  const auto found = groups_->groups_.find(aGroup);
  if (found == groups_->groups_.end()) {
    return false;
  }
  const auto& servers = found->second.servers_;
  const auto& excluded = aRequest.excluded_;
  return std::any_of(servers.begin(),
                     servers.end(),
                     [&](const BackendServerDescription& aServer) {
                       return !aServer.isLeaving_ &&
                              std::find(excluded.begin(),
                                        excluded.end(),
                                        aServer.id_) == excluded.end();
                     });
}

double
GroupSelector::GetSaturation(const GroupId& aGroup) const
{
  const auto found = saturations_.find(aGroup);
  return found == saturations_.end() ? 0.0 : found->second;
}

} // namespace azurecross

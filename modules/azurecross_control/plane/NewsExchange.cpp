#include "NewsExchange.h"

#include <algorithm>

namespace azurecross {

namespace {

constexpr double kThousandths = 1000.0;
/** A queue without a slot has no finite saturation. */
constexpr double kHighestSaturation = 1000.0;

double
FromThousandths(std::uint32_t aValue)
{
  return aValue / kThousandths;
}

wire::GroupSummary
ToWire(const GroupId& aGroup, const GroupSummary& aSummary)
{
  wire::GroupSummary summary;
  summary.set_pool(aGroup.pool_.GetValue());
  summary.set_zone(aGroup.zone_.GetValue());
  summary.set_shard(aGroup.shard_);
  const double saturation = std::min(aSummary.saturation_, kHighestSaturation);
  summary.set_saturation(static_cast<std::uint32_t>(saturation * kThousandths));
  std::uint32_t queued = 0;
  for (std::uint32_t count : aSummary.queued_) {
    queued += count;
  }
  summary.set_queue_length(queued);
  return summary;
}

} // namespace

NewsExchange::NewsExchange(PeerBridge& aPeers, GroupDirectory& aDirectory)
  : peers_(aPeers)
  , directory_(aDirectory)
{
}

bool
NewsExchange::Exchange(GrantCoordinator& aGrants,
                       const GroupMap& aGroups,
                       Time aNow)
{
  if (aNow - last_ < kInterval) {
    return false;
  }
  last_ = aNow;
  PublishSummaries(aGrants, aNow);
  ReadSummaries(aGrants, aGroups, aNow);
  const Gossip& gossip = peers_.GetView().GetGossip();
  std::erase_if(published_, [&](const BackendServerId& aServer) {
    return !gossip.IsLeaving(aServer);
  });
  const bool haveNotices = directory_.SetNotices(gossip.ListLeaving());
  const bool haveReports = directory_.DropOldSelfReports(aNow);
  return haveNotices || haveReports;
}

void
NewsExchange::PublishSummaries(const GrantCoordinator& aGrants, Time aNow)
{
  ClusterActions actions;
  for (const GroupId& group : aGrants.ListHomeGroups()) {
    if (const auto summary = aGrants.FindSummary(group)) {
      peers_.GetView().GetSummaries().PublishGroup(
        ToWire(group, *summary), aNow, actions);
    }
  }
  peers_.Process(std::move(actions));
}

void
NewsExchange::ReadSummaries(GrantCoordinator& aGrants,
                            const GroupMap& aGroups,
                            Time aNow) const
{
  const SummaryBoard& board = peers_.GetView().GetSummaries();
  for (const SummaryItem& item : board.ListGroups(aNow)) {
    aGrants.SetSaturation({ PoolName(item.summary_.pool()),
                            AvailabilityZone(item.summary_.zone()),
                            item.summary_.shard() },
                          FromThousandths(item.summary_.saturation()));
  }
  for (const SummaryItem& item : board.ListZones(aNow)) {
    const PoolName pool(item.summary_.pool());
    const AvailabilityZone zone(item.summary_.zone());
    const auto shards = aGroups.shards_.find({ pool, zone });
    const std::uint32_t count =
      shards == aGroups.shards_.end() ? 0 : shards->second;
    for (std::uint32_t shard = 0; shard < count; ++shard) {
      aGrants.SetSaturation({ pool, zone, shard },
                            FromThousandths(item.summary_.saturation()));
    }
  }
}

void
NewsExchange::PublishLeaving(const BackendServerId& aServer, Time aNow)
{
  if (peers_.GetView().GetGossip().IsLeaving(aServer)) {
    return;
  }
  ClusterActions actions;
  peers_.GetView().GetGossip().PublishLeaving(
    aServer, kNoticeLifetime, aNow, actions);
  peers_.Process(std::move(actions));
  published_.insert(aServer);
}

void
NewsExchange::WithdrawLeaving(const BackendServerId& aServer, Time aNow)
{
  if (published_.erase(aServer) == 0) {
    return;
  }
  ClusterActions actions;
  peers_.GetView().GetGossip().WithdrawLeaving(aServer, aNow, actions);
  peers_.Process(std::move(actions));
}

} // namespace azurecross

#include "SummaryBoard.h"

#include <map>
#include <utility>

namespace azurecross {

namespace {

/** The sums of one pool's groups. */
struct PoolSum
{
  std::uint64_t capacity_ = 0;
  /** Saturation times capacity, to weight large groups more. */
  std::uint64_t used_ = 0;
  std::uint32_t queued_ = 0;
};

/** Keeps the younger of two items with the same key. */
template<typename Key>
void
KeepYounger(std::map<Key, SummaryItem>& aItems, Key aKey, SummaryItem aItem)
{
  const auto [found, isNew] = aItems.try_emplace(std::move(aKey), aItem);
  if (!isNew && aItem.age_ < found->second.age_) {
    found->second = std::move(aItem);
  }
}

template<typename Key>
std::vector<SummaryItem>
ListValues(std::map<Key, SummaryItem> aItems)
{
  std::vector<SummaryItem> items;
  items.reserve(aItems.size());
  for (auto& [key, item] : aItems) {
    items.push_back(std::move(item));
  }
  return items;
}

} // namespace

SummaryBoard::SummaryBoard(Gossip& aGossip, AvailabilityZone aZone)
  : gossip_(aGossip)
  , zone_(std::move(aZone))
{
}

void
SummaryBoard::PublishGroup(wire::GroupSummary aSummary,
                           Time aNow,
                           ClusterActions& aActions)
{
  const std::string key =
    "group/" + aSummary.pool() + "/" + std::to_string(aSummary.shard());
  wire::GossipRecord record;
  *record.mutable_group() = std::move(aSummary);
  record.mutable_group()->set_whole_pool(false);
  gossip_.Publish(
    key, std::move(record), GossipScope::Zone, kGroupLifetime, aNow, aActions);
}

void
SummaryBoard::PublishZone(Time aNow, ClusterActions& aActions)
{
  if (aNow < nextZone_) {
    return;
  }
  nextZone_ = aNow + kZoneInterval;
  std::map<std::string, PoolSum> pools;
  for (const SummaryItem& item : ListGroups(aNow)) {
    const wire::GroupSummary& group = item.summary_;
    PoolSum& sum = pools[group.pool()];
    // A group of unknown capacity counts as a small one.
    const std::uint64_t capacity =
      std::max<std::uint64_t>(group.capacity_tokens(), 1);
    sum.capacity_ += capacity;
    sum.used_ += capacity * group.saturation();
    sum.queued_ += group.queue_length();
  }
  for (const auto& [pool, sum] : pools) {
    wire::GossipRecord record;
    wire::GroupSummary& summary = *record.mutable_group();
    summary.set_pool(pool);
    summary.set_zone(zone_.GetValue());
    summary.set_saturation(
      static_cast<std::uint32_t>(sum.used_ / sum.capacity_));
    summary.set_queue_length(sum.queued_);
    summary.set_capacity_tokens(sum.capacity_);
    summary.set_whole_pool(true);
    gossip_.Publish("pool/" + pool,
                    std::move(record),
                    GossipScope::AllZones,
                    kZoneLifetime,
                    aNow,
                    aActions);
  }
}

std::vector<SummaryItem>
SummaryBoard::ListGroups(Time aNow) const
{
  // Two entries publish the same group for a while after its home moved.
  std::map<std::pair<std::string, std::uint32_t>, SummaryItem> groups;
  gossip_.Visit(wire::GossipRecord::kGroup, aNow, [&](const GossipItem& aItem) {
    const wire::GroupSummary& group = aItem.record_->group();
    if (!group.whole_pool() && aItem.zone_ == zone_) {
      KeepYounger(groups,
                  std::pair(group.pool(), group.shard()),
                  SummaryItem{ group, aItem.age_ });
    }
  });
  return ListValues(std::move(groups));
}

std::vector<SummaryItem>
SummaryBoard::ListZones(Time aNow) const
{
  std::map<std::pair<std::string, std::string>, SummaryItem> pools;
  gossip_.Visit(wire::GossipRecord::kGroup, aNow, [&](const GossipItem& aItem) {
    const wire::GroupSummary& group = aItem.record_->group();
    if (group.whole_pool() && aItem.zone_ != zone_) {
      KeepYounger(pools,
                  std::pair(group.zone(), group.pool()),
                  SummaryItem{ group, aItem.age_ });
    }
  });
  return ListValues(std::move(pools));
}

} // namespace azurecross

#include "ZoneEvacuations.h"

#include <tuple>

namespace azurecross {

bool
EvacuatedZones::IsOlderThan(const EvacuatedZones& aOther) const
{
  return std::tie(restoreCount_, revision_) <
         std::tie(aOther.restoreCount_, aOther.revision_);
}

std::vector<ZoneEvacuationChange>
ZoneEvacuations::Apply(const EvacuatedZones& aZones, Time aNow)
{
  if (hasList_ && aZones.IsOlderThan(listed_)) {
    return {};
  }
  const bool isRestored =
    hasList_ && aZones.restoreCount_ > listed_.restoreCount_;
  if (isRestored) {
    settledAt_ = aNow + kRestoreSettleTime;
  }
  listed_ = aZones;
  hasList_ = true;
  std::vector<ZoneEvacuationChange> changes;
  for (const AvailabilityZone& zone : listed_.zones_) {
    if (since_.try_emplace(zone, aNow).second) {
      changes.push_back({ zone, true });
    }
  }
  if (aNow >= settledAt_) {
    for (ZoneEvacuationChange& change : EndUnlisted()) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

std::vector<ZoneEvacuationChange>
ZoneEvacuations::Tick(Time aNow)
{
  return aNow >= settledAt_ ? EndUnlisted()
                            : std::vector<ZoneEvacuationChange>();
}

std::vector<ZoneEvacuationChange>
ZoneEvacuations::EndUnlisted()
{
  std::vector<ZoneEvacuationChange> changes;
  for (auto entry = since_.begin(); entry != since_.end();) {
    if (listed_.zones_.contains(entry->first)) {
      ++entry;
      continue;
    }
    changes.push_back({ entry->first, false });
    entry = since_.erase(entry);
  }
  return changes;
}

bool
ZoneEvacuations::IsEvacuatedFor(const AvailabilityZone& aZone,
                                Duration aTime,
                                Time aNow) const
{
  const auto found = since_.find(aZone);
  return found != since_.end() && aNow - found->second >= aTime;
}

} // namespace azurecross

#include "ZoneRouter.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace azurecross {
namespace {

/** Spill starts here, a little before requests have to wait. */
constexpr double kSpillAbove = 0.9;
/** Another zone keeps this share for its own bursts. */
constexpr double kRoomBelow = 0.85;
/** Saturation above the bound at which the largest part is spilled. */
constexpr double kFullSpillRange = 0.4;
constexpr double kLargestSpill = 0.8;
/** Summaries come several times a second; an older one says that the zone
 * may be cut off. */
constexpr Duration kSummaryLifetime = std::chrono::seconds(3);

} // namespace

ZoneRouter::ZoneRouter(AvailabilityZone aOwnZone, std::uint64_t aSeed)
  : ownZone_(std::move(aOwnZone))
  , random_(aSeed)
{
}

void
ZoneRouter::ReportSummary(const AvailabilityZone& aZone,
                          const GroupSummary& aSummary,
                          Time aNow)
{
  zones_[aZone] = { aSummary, aNow };
}

void
ZoneRouter::RemoveZone(const AvailabilityZone& aZone)
{
  zones_.erase(aZone);
}

double
ZoneRouter::ComputeSaturation(const GroupSummary& aSummary, Rank aRank)
{
  double work = aSummary.queued_[0] + aSummary.running_[0];
  if (aRank == Rank::Lesser) {
    work += aSummary.queued_[1] + aSummary.running_[1];
  }
  return work / std::max(aSummary.slots_, 1U);
}

AvailabilityZone
ZoneRouter::ChooseZone(Rank aRank, Time aNow)
{
  const auto own = zones_.find(ownZone_);
  if (own == zones_.end()) {
    return ownZone_;
  }
  const double saturation = ComputeSaturation(own->second.summary_, aRank);
  if (saturation <= kSpillAbove) {
    return ownZone_;
  }
  const double part =
    std::min(kLargestSpill,
             kLargestSpill * (saturation - kSpillAbove) / kFullSpillRange);
  if (random_.DrawUnit() >= part) {
    return ownZone_;
  }
  double total = 0.0;
  std::vector<std::pair<double, const AvailabilityZone*>> rooms;
  for (const auto& [zone, state] : zones_) {
    const double used = ComputeSaturation(state.summary_, aRank);
    if (zone != ownZone_ && aNow - state.reported_ <= kSummaryLifetime &&
        used < kRoomBelow) {
      total += (kRoomBelow - used) * state.summary_.slots_;
      rooms.emplace_back(total, &zone);
    }
  }
  const double choice = random_.DrawUnit() * total;
  for (const auto& [bound, zone] : rooms) {
    if (choice < bound) {
      return *zone;
    }
  }
  return ownZone_;
}

} // namespace azurecross

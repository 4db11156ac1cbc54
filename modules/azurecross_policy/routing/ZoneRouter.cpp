#include "ZoneRouter.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace azurecross {
namespace {

/** Saturation above which requests spill over, slightly before requests have
 * to queue in the local zone. */
constexpr double kSpilloverThreshold = 0.9;
/** A zone accepts spilled requests below this saturation; the rest of its
 * capacity is reserved for bursts of its own load. */
constexpr double kSpareCapacityThreshold = 0.85;
/** Saturation above the threshold at which the spilled fraction reaches its
 * maximum. */
constexpr double kSpilloverRange = 0.4;
constexpr double kMaxSpilledFraction = 0.8;
/** Summaries arrive several times a second; an older one suggests that the
 * zone is unreachable. */
constexpr Duration kSummaryLifetime = std::chrono::seconds(3);

} // namespace

ZoneRouter::ZoneRouter(AvailabilityZone aLocalZone, std::uint64_t aSeed)
  : localZone_(std::move(aLocalZone))
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
  double requests = aSummary.queued_[0] + aSummary.running_[0];
  if (aRank == Rank::Lesser) {
    requests += aSummary.queued_[1] + aSummary.running_[1];
  }
  return requests / std::max(aSummary.slots_, 1U);
}

AvailabilityZone
ZoneRouter::ChooseZone(Rank aRank, Time aNow)
{
  const auto local = zones_.find(localZone_);
  if (local == zones_.end()) {
    return localZone_;
  }
  const double saturation = ComputeSaturation(local->second.summary_, aRank);
  if (saturation <= kSpilloverThreshold) {
    return localZone_;
  }
  const double spilledFraction = std::min(
    kMaxSpilledFraction,
    kMaxSpilledFraction * (saturation - kSpilloverThreshold) / kSpilloverRange);
  if (random_.DrawUnit() >= spilledFraction) {
    return localZone_;
  }
  double totalCapacity = 0.0;
  std::vector<std::pair<double, const AvailabilityZone*>> candidates;
  for (const auto& [zone, report] : zones_) {
    const double zoneSaturation = ComputeSaturation(report.summary_, aRank);
    if (zone != localZone_ && aNow - report.reportedAt_ <= kSummaryLifetime &&
        zoneSaturation < kSpareCapacityThreshold) {
      totalCapacity +=
        (kSpareCapacityThreshold - zoneSaturation) * report.summary_.slots_;
      candidates.emplace_back(totalCapacity, &zone);
    }
  }
  const double choice = random_.DrawUnit() * totalCapacity;
  for (const auto& [upperBound, zone] : candidates) {
    if (choice < upperBound) {
      return *zone;
    }
  }
  return localZone_;
}

} // namespace azurecross

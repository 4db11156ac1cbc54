#include "TokenPace.h"

#include <algorithm>
#include <cmath>

namespace azurecross {

namespace {

/** A pace counts for one to two periods. Engines are replaced about every 20 s.
 */
constexpr Duration kPeriod = std::chrono::seconds(10);
/** Ratio of the bounds of a bucket. */
constexpr double kBucketRatio = 1.05;
/** Share of the gaps that are shorter than a disturbed one. A stream of 190
 * events has about one longer one, which makes it late. */
constexpr double kUndisturbedShare = 0.995;
/** Gaps that are needed for an estimate. */
constexpr double kMinWeight = 200.0;
constexpr double kHalfLifeSeconds = 10.0;
/** Interval between decays, which touch all buckets. */
constexpr Duration kDecayInterval = std::chrono::seconds(1);

} // namespace

void
TokenPace::Observe(double aSecondsPerToken, Time aNow)
{
  if (aSecondsPerToken <= 0.0) {
    return;
  }
  if (!current_.shortest_ || aNow - current_.start_ >= kPeriod) {
    previous_ = current_;
    current_ = { aNow, aSecondsPerToken };
    return;
  }
  current_.shortest_ = std::min(*current_.shortest_, aSecondsPerToken);
}

std::optional<double>
TokenPace::Find(Time aNow) const
{
  std::optional<double> shortest;
  for (const Period* period : { &current_, &previous_ }) {
    if (period->shortest_ && aNow - period->start_ < 2 * kPeriod) {
      shortest =
        std::min(shortest.value_or(*period->shortest_), *period->shortest_);
    }
  }
  return shortest;
}

void
StallStatistics::Observe(double aRatio, Time aNow)
{
  const Duration sinceDecay = aNow - decayedAt_;
  if (sinceDecay >= kDecayInterval) {
    const double factor = std::exp2(-ToSeconds(sinceDecay) / kHalfLifeSeconds);
    totalWeight_ *= factor;
    for (double& weight : weights_) {
      weight *= factor;
    }
    decayedAt_ = aNow;
  }
  const double position =
    std::log(std::max(aRatio, 1.0)) / std::log(kBucketRatio);
  const auto bucket =
    std::min(static_cast<std::size_t>(position), kBuckets - 1);
  weights_[bucket] += 1.0;
  totalWeight_ += 1.0;
}

DecayedMean
StallStatistics::GetDisturbedRatio() const
{
  if (totalWeight_ < kMinWeight) {
    return {};
  }
  double weight = 0.0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    weight += weights_[bucket];
    if (weight >= kUndisturbedShare * totalWeight_) {
      const double ratio = std::pow(kBucketRatio, static_cast<double>(bucket));
      return { ratio * totalWeight_, totalWeight_ };
    }
  }
  return {};
}

} // namespace azurecross

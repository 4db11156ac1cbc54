#include "WaitEstimator.h"

#include <algorithm>
#include <cmath>

namespace azurecross {
namespace {

/** Number of observations in the moving mean of slot durations. */
constexpr std::uint32_t kSlotDurationWindow = 500;
/** Weight of one observation in the smoothed time to first token. */
constexpr double kFirstTokenWeight = 0.02;
/** Mean absolute deviations in the margin. Late first tokens come in clusters,
 * when many prompts are on one engine, so the tail is longer than that of a
 * normal distribution. */
constexpr double kFirstTokenDeviations = 6.0;
/** Predicted waits below this are too short for a useful comparison. */
constexpr double kMinComparedWaitSeconds = 0.5;
constexpr double kCorrectionWeight = 0.01;
constexpr double kMinCorrection = 0.5;
constexpr double kMaxCorrection = 4.0;
/** Time constant of the arrival rates. */
constexpr double kArrivalTimeConstantSeconds = 5.0;

} // namespace

void
WaitEstimator::ObserveSlotDuration(Rank aRank, Duration aDuration)
{
  const std::size_t index = GetIndex(aRank);
  slotDurationCounts_[index] =
    std::min(slotDurationCounts_[index] + 1, kSlotDurationWindow);
  meanSlotSeconds_[index] += (ToSeconds(aDuration) - meanSlotSeconds_[index]) /
                             slotDurationCounts_[index];
}

void
WaitEstimator::ObserveWait(Rank aRank,
                           double aPredictedSeconds,
                           double aActualSeconds)
{
  if (aPredictedSeconds < kMinComparedWaitSeconds) {
    return;
  }
  // Each rank has its own correction, because an overload of lesser work is no
  // evidence for the waits of urgent work.
  double& correction = corrections_[GetIndex(aRank)];
  const double observed = aActualSeconds / aPredictedSeconds;
  correction += kCorrectionWeight * (observed - correction);
  correction = std::clamp(correction, kMinCorrection, kMaxCorrection);
}

void
WaitEstimator::ObserveFirstToken(Duration aAfterGrant)
{
  const double seconds = ToSeconds(aAfterGrant);
  if (!hasFirstToken_) {
    firstTokenSeconds_ = seconds;
    hasFirstToken_ = true;
    return;
  }
  const double difference = seconds - firstTokenSeconds_;
  firstTokenSeconds_ += kFirstTokenWeight * difference;
  firstTokenDeviation_ +=
    kFirstTokenWeight * (std::abs(difference) - firstTokenDeviation_);
}

void
WaitEstimator::Tick(Duration aElapsed)
{
  const double elapsed = ToSeconds(aElapsed);
  const double weight = -std::expm1(-elapsed / kArrivalTimeConstantSeconds);
  for (std::size_t index = 0; index < kRankCount; ++index) {
    const double rate = arrivalCounts_[index] / elapsed;
    arrivalCounts_[index] = 0;
    arrivalRates_[index] += weight * (rate - arrivalRates_[index]);
  }
}

double
WaitEstimator::PredictSlotRate(
  Rank aRank,
  const std::array<std::uint32_t, kRankCount>& aRunning,
  std::uint32_t aSlots,
  double aLesserFloor) const
{
  double releaseRate = 0.0;
  for (std::size_t index = 0; index < kRankCount; ++index) {
    if (meanSlotSeconds_[index] > 0.0) {
      releaseRate += aRunning[index] / meanSlotSeconds_[index];
    }
  }
  const std::size_t lesser = GetIndex(Rank::Lesser);
  const double floorRate = meanSlotSeconds_[lesser] > 0.0
                             ? aLesserFloor * aSlots / meanSlotSeconds_[lesser]
                             : 0.0;
  if (aRank == Rank::Lesser) {
    return std::max(releaseRate - arrivalRates_[GetIndex(Rank::Urgent)],
                    floorRate);
  }
  const double lesserDemand = std::min(arrivalRates_[lesser], floorRate);
  return std::max(releaseRate - lesserDemand, 0.5 * releaseRate);
}

Duration
WaitEstimator::GetFirstTokenMargin() const
{
  return FromSeconds(firstTokenSeconds_ +
                     kFirstTokenDeviations * firstTokenDeviation_);
}

} // namespace azurecross

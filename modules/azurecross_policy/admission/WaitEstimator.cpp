#include "WaitEstimator.h"

#include <algorithm>
#include <cmath>

namespace azurecross {
namespace {

/** Observations that count in the mean time a slot is held. */
constexpr std::uint32_t kHoldWindow = 500;
/** Weight of one first token in its smoothed time. */
constexpr double kFirstTokenWeight = 0.02;
/** Mean deviations added. First tokens are late in clusters, when many
 * prompts meet on one engine, so the tail is longer than a normal one's. */
constexpr double kFirstTokenDeviations = 6.0;
/** Waits shorter than this say little about the prediction. */
constexpr double kShortestWait = 0.5;
constexpr double kCorrectionWeight = 0.01;
constexpr double kSmallestCorrection = 0.5;
constexpr double kLargestCorrection = 4.0;
/** Time constant of the arrival rates. */
constexpr double kArrivalSeconds = 5.0;

} // namespace

void
WaitEstimator::ObserveHold(Rank aRank, Duration aHeld)
{
  const std::size_t index = GetIndex(aRank);
  holds_[index] = std::min(holds_[index] + 1, kHoldWindow);
  holdSeconds_[index] +=
    (ToSeconds(aHeld) - holdSeconds_[index]) / holds_[index];
}

void
WaitEstimator::ObserveWait(Rank aRank,
                           double aPredictedSeconds,
                           double aSeconds)
{
  if (aPredictedSeconds < kShortestWait) {
    return;
  }
  // Each rank has its own: a flood of lesser work says nothing about how long
  // urgent work waits.
  double& correction = corrections_[GetIndex(aRank)];
  const double observed = correction * aSeconds / aPredictedSeconds;
  correction += kCorrectionWeight * (observed - correction);
  correction = std::clamp(correction, kSmallestCorrection, kLargestCorrection);
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
  const double weight = -std::expm1(-elapsed / kArrivalSeconds);
  for (std::size_t index = 0; index < kRankCount; ++index) {
    const double rate = arrivals_[index] / elapsed;
    arrivals_[index] = 0;
    arrivalRate_[index] += weight * (rate - arrivalRate_[index]);
  }
}

double
WaitEstimator::PredictRate(
  Rank aRank,
  const std::array<std::uint32_t, kRankCount>& aRunning,
  std::uint32_t aSlots,
  double aLesserFloor) const
{
  double released = 0.0;
  for (std::size_t index = 0; index < kRankCount; ++index) {
    if (holdSeconds_[index] > 0.0) {
      released += aRunning[index] / holdSeconds_[index];
    }
  }
  const std::size_t lesser = GetIndex(Rank::Lesser);
  const double floorRate = holdSeconds_[lesser] > 0.0
                             ? aLesserFloor * aSlots / holdSeconds_[lesser]
                             : 0.0;
  if (aRank == Rank::Lesser) {
    return std::max(released - arrivalRate_[GetIndex(Rank::Urgent)], floorRate);
  }
  const double lesserDemand = std::min(arrivalRate_[lesser], floorRate);
  return std::max(released - lesserDemand, 0.5 * released);
}

Duration
WaitEstimator::GetFirstTokenMargin() const
{
  return FromSeconds(firstTokenSeconds_ +
                     kFirstTokenDeviations * firstTokenDeviation_);
}

} // namespace azurecross

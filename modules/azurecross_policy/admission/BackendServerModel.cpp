#include "BackendServerModel.h"

#include <algorithm>
#include <cmath>

namespace azurecross {
namespace {

/** Fractions of the target to which the mean gap is limited, because prefill of
 * other prompts makes single gaps longer than the mean. Lesser work has the
 * lower limit, so that urgent work finds a free slot at once. */
constexpr double kUrgentGapFraction = 0.78;
constexpr double kLesserGapFraction = 0.7;
/** Fraction of `maxConcurrent_` open to lesser work on plain services, which
 * have no token gaps. */
constexpr double kLesserSlotFraction = 0.9;
/** Standard deviations of predicted memory kept free. Lesser work keeps more
 * memory free, to leave room for urgent work. */
constexpr double kUrgentMemoryDeviations = 2.0;
constexpr double kLesserMemoryDeviations = 3.0;
/** A horizon is checked only if the new request is expected to use at least
 * this fraction of its own peak at that horizon. Few generations reach the
 * far horizons, and short requests have ended long before, so a check of these
 * horizons would leave memory idle. */
constexpr double kRelevantPeakFraction = 0.1;
/** Fraction of memory that admission fills on average. */
constexpr double kUsableMemoryFraction = 0.8;
/** Forgetting factor per observed gap; the effective window is about 500
 * observations. */
constexpr double kForgettingFactor = 0.998;
/** Weight of each prior point of the fit, in observations. */
constexpr double kPriorWeight = 20.0;
/** Prior for the batch size at which an engine reaches the target gap. The
 * value is low because a limit that is too high delays every stream on the
 * engine. */
constexpr double kPriorBatch = 32.0;
/** Prior for the gap at an empty batch, as a fraction of the target. */
constexpr double kPriorInterceptFraction = 0.4;
/** Bounds of the limit relative to the largest batch observed, because the
 * fitted line is unreliable for larger batches. */
constexpr double kExtrapolationFactor = 1.25;
constexpr double kExtrapolationSlots = 4.0;
/** Decay of the largest batch observed, per observed gap. */
constexpr double kLargestBatchDecay = 0.9999;
constexpr std::uint32_t kObservationsPerFit = 16;
constexpr double kPreemptionTrustFactor = 0.97;
constexpr double kMinMemoryTrust = 0.7;
constexpr double kTrustRecoveryPerReport = 0.0005;

} // namespace

BackendServerModel::BackendServerModel(Duration aTargetGap)
  : targetGap_(aTargetGap)
{
  const double target = ToSeconds(aTargetGap);
  intercept_ = kPriorInterceptFraction * target;
  slope_ = (1.0 - kPriorInterceptFraction) * target / kPriorBatch;
}

void
BackendServerModel::SetDescription(const BackendServerDescription& aDescription)
{
  description_ = aDescription;
  UpdateLimits();
  UpdateMemoryShare();
}

void
BackendServerModel::SetCapacityDivisor(std::uint32_t aDivisor)
{
  capacityDivisor_ = std::max(aDivisor, 1U);
  UpdateLimits();
  UpdateMemoryShare();
}

void
BackendServerModel::AddRequest(Rank aRank, const MemoryForecast& aForecast)
{
  ++running_[static_cast<std::size_t>(aRank)];
  largestBatch_ = std::max(largestBatch_, static_cast<double>(GetRunning()));
  memory_.Add(aForecast);
  UpdateMemoryShare();
}

void
BackendServerModel::RemoveRequest(Rank aRank, const MemoryForecast& aForecast)
{
  --running_[static_cast<std::size_t>(aRank)];
  memory_.Subtract(aForecast);
  if (running_[0] + running_[1] == 0) {
    // Resets rounding errors of the subtractions.
    memory_ = {};
  }
  UpdateMemoryShare();
}

void
BackendServerModel::UpdateForecast(const MemoryForecast& aOld,
                                   const MemoryForecast& aNew)
{
  memory_.Subtract(aOld);
  memory_.Add(aNew);
  UpdateMemoryShare();
}

void
BackendServerModel::ObserveGap(Duration aGap)
{
  const double running = GetRunning();
  const double gap = ToSeconds(aGap);
  sumWeight_ = sumWeight_ * kForgettingFactor + 1.0;
  sumRunning_ = sumRunning_ * kForgettingFactor + running;
  sumGap_ = sumGap_ * kForgettingFactor + gap;
  sumRunningSquared_ =
    sumRunningSquared_ * kForgettingFactor + running * running;
  sumRunningGap_ = sumRunningGap_ * kForgettingFactor + running * gap;
  largestBatch_ = std::max(largestBatch_ * kLargestBatchDecay, running);
  if (++observations_ % kObservationsPerFit == 0) {
    FitGapModel();
    UpdateLimits();
  }
}

void
BackendServerModel::FitGapModel()
{
  // Two prior points, at an empty batch and at the prior batch size, keep the
  // fit defined while all observations have the same batch size. The points are
  // scaled to the observed speed, so that they only affect the ratio of slope
  // and intercept.
  const double target = ToSeconds(targetGap_);
  const double meanRunning = sumRunning_ / sumWeight_;
  const double meanGap = sumGap_ / sumWeight_;
  const double priorGapAtMean =
    target * (kPriorInterceptFraction +
              (1.0 - kPriorInterceptFraction) * meanRunning / kPriorBatch);
  const double scale = meanGap / priorGapAtMean;
  const double low = kPriorInterceptFraction * target * scale;
  const double high = target * scale;
  const double weight = sumWeight_ + 2.0 * kPriorWeight;
  const double running = sumRunning_ + kPriorWeight * kPriorBatch;
  const double gap = sumGap_ + kPriorWeight * (low + high);
  const double squared =
    sumRunningSquared_ + kPriorWeight * kPriorBatch * kPriorBatch;
  const double product = sumRunningGap_ + kPriorWeight * kPriorBatch * high;
  const double determinant = weight * squared - running * running;
  const double slope = (weight * product - running * gap) / determinant;
  // The gap can't shrink with load, so a slope of zero or less is noise.
  slope_ = std::max(slope, 0.01 * target / kPriorBatch);
  intercept_ = std::max(0.0, (gap - slope_ * running) / weight);
}

void
BackendServerModel::UpdateLimits()
{
  const std::uint32_t hardLimit = description_.maxConcurrent_;
  if (description_.memoryTokens_ == 0) {
    const auto lesser =
      static_cast<std::uint32_t>(std::floor(hardLimit * kLesserSlotFraction));
    limits_ = { std::max(hardLimit / capacityDivisor_, 1U),
                std::max(lesser / capacityDivisor_, 1U) };
    return;
  }
  const double target = ToSeconds(targetGap_);
  const double maxReliableBatch =
    std::max(largestBatch_, kPriorBatch * kLesserGapFraction) *
      kExtrapolationFactor +
    kExtrapolationSlots;
  const auto computeLimit = [&](double aFraction) {
    const double batch = (target * aFraction - intercept_) / slope_;
    const double bounded = std::clamp(
      std::min(batch, maxReliableBatch), 1.0, static_cast<double>(hardLimit));
    return std::max(static_cast<std::uint32_t>(bounded) / capacityDivisor_, 1U);
  };
  limits_ = { computeLimit(kUrgentGapFraction),
              computeLimit(kLesserGapFraction) };
}

void
BackendServerModel::ObserveLoad(const BackendServerLoad& aLoad)
{
  if (aLoad.totalMemoryTokens_ > 0 && description_.memoryTokens_ > 0) {
    description_.memoryTokens_ = aLoad.totalMemoryTokens_;
  }
  const bool hasNewPreemptions =
    hasPreemptionCount_ && aLoad.preemptions_ > preemptions_;
  memoryTrust_ =
    hasNewPreemptions
      ? std::max(kMinMemoryTrust, memoryTrust_ * kPreemptionTrustFactor)
      : std::min(1.0, memoryTrust_ + kTrustRecoveryPerReport);
  preemptions_ = aLoad.preemptions_;
  hasPreemptionCount_ = true;
}

double
BackendServerModel::PredictGapShare() const
{
  if (description_.memoryTokens_ == 0) {
    return static_cast<double>(GetRunning()) / limits_[0];
  }
  const double maxMeanGap = kUrgentGapFraction * ToSeconds(targetGap_);
  return (PredictGapSeconds() + slope_) / maxMeanGap;
}

double
BackendServerModel::ComputeTokenRate(double aMeanMemory) const
{
  if (description_.memoryTokens_ == 0) {
    return 0.0;
  }
  const double fittingBatch = kUsableMemoryFraction *
                              description_.memoryTokens_ * memoryTrust_ /
                              std::max(aMeanMemory, 1.0);
  const double batch =
    std::min(fittingBatch, static_cast<double>(GetLimit(Rank::Urgent)));
  return batch / (intercept_ + slope_ * batch);
}

void
BackendServerModel::ObserveExternalLoad(const BackendServerLoad& aLoad)
{
  const std::uint32_t ownRequests = running_[0] + running_[1];
  const std::uint32_t reportedRequests = aLoad.running_ + aLoad.waiting_;
  externalRunning_ =
    reportedRequests > ownRequests ? reportedRequests - ownRequests : 0;
  externalMemory_ = std::max(0.0, aLoad.usedMemoryTokens_ - memory_.mean_[0]);
  UpdateMemoryShare();
}

bool
BackendServerModel::HasMemoryFor(const MemoryForecast& aForecast,
                                 Rank aRank) const
{
  // An idle engine accepts any request, because a request above every memory
  // limit must still run.
  if (description_.memoryTokens_ == 0 || GetRunning() == 0) {
    return true;
  }
  const double deviations =
    aRank == Rank::Urgent ? kUrgentMemoryDeviations : kLesserMemoryDeviations;
  const double usable =
    description_.memoryTokens_ * memoryTrust_ / capacityDivisor_ -
    externalMemory_;
  const double relevantMean = kRelevantPeakFraction * aForecast.ComputePeak();
  for (std::size_t index = 0; index < MemoryForecast::kHorizonCount; ++index) {
    if (aForecast.mean_[index] < relevantMean) {
      continue;
    }
    const double mean = memory_.mean_[index] + aForecast.mean_[index];
    const double variance =
      std::max(0.0, memory_.variance_[index] + aForecast.variance_[index]);
    const double freeTokens = usable - mean;
    if (freeTokens < 0.0 ||
        freeTokens * freeTokens < deviations * deviations * variance) {
      return false;
    }
  }
  return true;
}

void
BackendServerModel::UpdateMemoryShare()
{
  if (description_.memoryTokens_ == 0) {
    memoryShare_ = 0.0;
    return;
  }
  const double peak = memory_.ComputePeak() + externalMemory_;
  memoryShare_ =
    peak * capacityDivisor_ / (description_.memoryTokens_ * memoryTrust_);
}

} // namespace azurecross

#include "ServerStatistics.h"

#include <cmath>

namespace azurecross {

namespace {

/** Servers fail or slow down for a few seconds and engines live for about 20 s,
 * so observations older than two half-lives carry little information. */
constexpr double kHalfLifeSeconds = 5.0;
/** Upper limit of the weight: keeps a stream of many events from outweighing
 * all later observations. */
constexpr double kMaximumWeight = 20.0;
/** Observations with less weight than this are considered decayed. */
constexpr double kMinimumWeight = 0.3;

} // namespace

void
DecayedMean::Add(double aValue)
{
  sum_ += aValue;
  weight_ += 1.0;
  if (weight_ > kMaximumWeight) {
    Scale(kMaximumWeight / weight_);
  }
}

void
DecayedMean::Add(const DecayedMean& aOther, double aFactor)
{
  sum_ += aFactor * aOther.sum_;
  weight_ += aFactor * aOther.weight_;
}

void
DecayedMean::Scale(double aFactor)
{
  sum_ *= aFactor;
  weight_ *= aFactor;
}

double
DecayedMean::GetMean(double aAssumed, double aAssumedWeight) const
{
  const double weight = aAssumedWeight + weight_;
  return weight > 0.0 ? (aAssumedWeight * aAssumed + sum_) / weight : aAssumed;
}

void
ServerStatistics::Add(const ServerStatistics& aOther, double aFactor)
{
  secondsPerPromptToken_.Add(aOther.secondsPerPromptToken_, aFactor);
  secondsPerToken_.Add(aOther.secondsPerToken_, aFactor);
  secondsPerCall_.Add(aOther.secondsPerCall_, aFactor);
  failureShare_.Add(aOther.failureShare_, aFactor);
}

void
ServerStatistics::Scale(double aFactor)
{
  secondsPerPromptToken_.Scale(aFactor);
  secondsPerToken_.Scale(aFactor);
  secondsPerCall_.Scale(aFactor);
  failureShare_.Scale(aFactor);
}

bool
ServerStatistics::HasSignificantWeight() const
{
  return secondsPerPromptToken_.weight_ > kMinimumWeight ||
         secondsPerToken_.weight_ > kMinimumWeight ||
         secondsPerCall_.weight_ > kMinimumWeight ||
         failureShare_.weight_ > kMinimumWeight;
}

ServerStatistics&
DecayingStatistics::Get(Time aNow)
{
  if (decayedAt_ && aNow > *decayedAt_) {
    statistics_.Scale(
      std::exp2(-ToSeconds(aNow - *decayedAt_) / kHalfLifeSeconds));
  }
  decayedAt_ = aNow;
  return statistics_;
}

} // namespace azurecross

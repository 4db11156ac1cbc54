#include "ServerStatistics.h"

#include <cmath>

namespace azurecross {

namespace {

/** Servers fail and turn slow for some seconds, and engines live for about
 * twenty: what is older than two half-lives says little. */
constexpr double kHalfLifeSeconds = 5.0;
/** Keeps a stream of many events from outweighing all that comes later. */
constexpr double kMostWeight = 20.0;
/** Less than this is an observation that has faded away. */
constexpr double kLeastWeight = 0.3;

} // namespace

void
DecayedMean::Add(double aValue)
{
  sum_ += aValue;
  weight_ += 1.0;
  if (weight_ > kMostWeight) {
    Scale(kMostWeight / weight_);
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
  return secondsPerPromptToken_.weight_ > kLeastWeight ||
         secondsPerToken_.weight_ > kLeastWeight ||
         secondsPerCall_.weight_ > kLeastWeight ||
         failureShare_.weight_ > kLeastWeight;
}

ServerStatistics&
DecayingStatistics::Get(Time aNow)
{
  if (decayedAt_ && aNow > *decayedAt_) {
    ownStatistics_.Scale(
      std::exp2(-ToSeconds(aNow - *decayedAt_) / kHalfLifeSeconds));
  }
  decayedAt_ = aNow;
  return ownStatistics_;
}

} // namespace azurecross

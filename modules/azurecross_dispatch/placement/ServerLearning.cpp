#include "ServerLearning.h"

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
ServerLearning::Add(const ServerLearning& aOther, double aFactor)
{
  promptSeconds_.Add(aOther.promptSeconds_, aFactor);
  tokenSeconds_.Add(aOther.tokenSeconds_, aFactor);
  callSeconds_.Add(aOther.callSeconds_, aFactor);
  failures_.Add(aOther.failures_, aFactor);
}

void
ServerLearning::Scale(double aFactor)
{
  promptSeconds_.Scale(aFactor);
  tokenSeconds_.Scale(aFactor);
  callSeconds_.Scale(aFactor);
  failures_.Scale(aFactor);
}

bool
ServerLearning::IsWorthTelling() const
{
  return promptSeconds_.weight_ > kLeastWeight ||
         tokenSeconds_.weight_ > kLeastWeight ||
         callSeconds_.weight_ > kLeastWeight ||
         failures_.weight_ > kLeastWeight;
}

ServerLearning&
FadingLearning::Get(Time aNow)
{
  if (fadedAt_ && aNow > *fadedAt_) {
    learning_.Scale(std::exp2(-ToSeconds(aNow - *fadedAt_) / kHalfLifeSeconds));
  }
  fadedAt_ = aNow;
  return learning_;
}

} // namespace azurecross

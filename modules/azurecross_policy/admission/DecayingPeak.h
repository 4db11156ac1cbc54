#pragma once

#include <azurecross_core/azurecross_core.h>

#include <algorithm>
#include <cmath>

namespace azurecross {

/** Maximum of recent observations that decays exponentially over time. */
class DecayingPeak
{
public:
  explicit DecayingPeak(Duration aTimeConstant)
    : timeConstant_(aTimeConstant)
  {
  }

  void Observe(double aValue, Time aNow)
  {
    peak_ = std::max(aValue, GetValue(aNow));
    observed_ = aNow;
  }

  double GetValue(Time aNow) const
  {
    return peak_ *
           std::exp(-ToSeconds(aNow - observed_) / ToSeconds(timeConstant_));
  }

  /** @returns the peak at the time of the last observation. */
  double GetUndecayed() const { return peak_; }

private:
  Duration timeConstant_;
  double peak_ = 0.0;
  Time observed_{};
};

} // namespace azurecross

#pragma once

#include <azurecross_core/azurecross_core.h>

#include <algorithm>
#include <cmath>

namespace azurecross {

/** The largest value of the recent past; older values count for less. */
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

  double GetUndecayed() const { return peak_; }

private:
  Duration timeConstant_;
  double peak_ = 0.0;
  Time observed_{};
};

} // namespace azurecross

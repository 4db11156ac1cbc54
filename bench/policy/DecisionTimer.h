#pragma once

#include <azurecross_core/azurecross_core.h>

#include <algorithm>
#include <vector>

namespace azurecross::bench {

/** Collects what single decisions cost in real time. */
class DecisionTimer
{
public:
  template<typename Function>
  void Measure(Function aFunction)
  {
    const Time start = ReadMonotonicTime();
    aFunction();
    costs_.push_back(static_cast<float>(ToSeconds(ReadMonotonicTime() - start) *
                                        kMicrosecondsPerSecond));
  }

  /** @returns the cost in microseconds at a quantile. */
  double ComputeQuantile(double aQuantile) const
  {
    if (costs_.empty()) {
      return 0.0;
    }
    std::vector<float> costs = costs_;
    const auto rank =
      static_cast<std::size_t>(aQuantile * static_cast<double>(costs.size()));
    const auto position = costs.begin() + static_cast<std::ptrdiff_t>(
                                            std::min(rank, costs.size() - 1));
    std::nth_element(costs.begin(), position, costs.end());
    return *position;
  }

private:
  static constexpr double kMicrosecondsPerSecond = 1e6;
  std::vector<float> costs_;
};

} // namespace azurecross::bench

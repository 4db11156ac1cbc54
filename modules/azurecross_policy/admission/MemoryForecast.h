#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace azurecross {

/**
 * Expected engine memory use, in tokens, at fixed numbers of decoding steps
 * from now. Running generations advance by one token per step, so forecasts
 * of single generations add up to the forecast of their engine.
 */
struct MemoryForecast
{
  static constexpr std::size_t kHorizonCount = 12;
  static constexpr std::array<std::uint32_t, kHorizonCount> kHorizons = {
    0, 16, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 16'384, 32'768
  };

  std::array<double, kHorizonCount> mean_{};
  std::array<double, kHorizonCount> variance_{};

  void Add(const MemoryForecast& aOther)
  {
    for (std::size_t index = 0; index < kHorizonCount; ++index) {
      mean_[index] += aOther.mean_[index];
      variance_[index] += aOther.variance_[index];
    }
  }

  /** @returns the largest expected memory of all horizons. */
  double ComputePeak() const
  {
    return *std::max_element(mean_.begin(), mean_.end());
  }

  void Subtract(const MemoryForecast& aOther)
  {
    for (std::size_t index = 0; index < kHorizonCount; ++index) {
      mean_[index] -= aOther.mean_[index];
      variance_[index] -= aOther.variance_[index];
    }
  }
};

} // namespace azurecross

#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <optional>

namespace azurecross {

/**
 * Bounds retries to a fraction of recent successes, so that retries can't
 * multiply the load when many requests fail.
 */
class RetryBudget
{
public:
  explicit RetryBudget(std::uint64_t aSeed, double aFraction = kFraction);

  void RecordSuccess(Time aNow);

  /**
   * Asks for a retry, which is taken from the budget if it is allowed.
   * @param aAttempt attempts already made, at least 1.
   * @returns how long to wait before the retry, or nothing if none is allowed.
   */
  std::optional<Duration> TakeRetry(std::uint32_t aAttempt, Time aNow);

  double GetBalance(Time aNow) const;

private:
  /** One retry for ten successes. */
  static constexpr double kFraction = 0.1;

  Random random_;
  double fraction_;
  double balance_;
  Time updated_{};
};

} // namespace azurecross

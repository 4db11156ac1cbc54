#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <optional>

namespace azurecross {

/**
 * Limits retries to a fraction of the recent successes, so that retries don't
 * multiply the load when many requests fail.
 */
class RetryBudget
{
public:
  explicit RetryBudget(std::uint64_t aSeed,
                       double aRetriesPerSuccess = kRetriesPerSuccess);

  /** Adds the fraction of a retry that one success earns to the budget. */
  void RecordSuccess(Time aNow);

  /**
   * Takes one retry from the budget if the budget allows it.
   * @param aAttempt number of attempts already made, at least 1.
   * @returns the delay before the retry, or nothing if the budget is exhausted.
   */
  std::optional<Duration> TakeRetry(std::uint32_t aAttempt, Time aNow);

  /** @returns the number of retries that the budget allows at this time. */
  double GetBalance(Time aNow) const;

private:
  /** Allows one retry for every ten successes. */
  static constexpr double kRetriesPerSuccess = 0.1;

  Random random_;
  double retriesPerSuccess_;
  double balance_;
  Time updatedAt_{};
};

} // namespace azurecross

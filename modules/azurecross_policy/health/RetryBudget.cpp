#include "RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace azurecross {
namespace {

/** Balance without any successes, which allows a few retries in an entry that
 * serves few requests. */
constexpr double kReserveRetries = 3.0;
/** Time constant with which the balance returns to the reserve. */
constexpr double kBalanceDecaySeconds = 30.0;
constexpr double kMaxBalance = 200.0;
constexpr Duration kInitialBackoff = std::chrono::milliseconds(50);
constexpr std::uint32_t kMaxBackoffDoublings = 6;

} // namespace

RetryBudget::RetryBudget(std::uint64_t aSeed, double aRetriesPerSuccess)
  : random_(aSeed)
  , retriesPerSuccess_(aRetriesPerSuccess)
  , balance_(kReserveRetries)
{
}

double
RetryBudget::GetBalance(Time aNow) const
{
  // The balance decays towards the reserve from above and from below.
  const double decay =
    std::exp(-ToSeconds(aNow - updatedAt_) / kBalanceDecaySeconds);
  return kReserveRetries + (balance_ - kReserveRetries) * decay;
}

void
RetryBudget::RecordSuccess(Time aNow)
{
  balance_ = std::min(kMaxBalance, GetBalance(aNow) + retriesPerSuccess_);
  updatedAt_ = aNow;
}

std::optional<Duration>
RetryBudget::TakeRetry(std::uint32_t aAttempt, Time aNow)
{
  balance_ = GetBalance(aNow);
  updatedAt_ = aNow;
  if (balance_ < 1.0) {
    return std::nullopt;
  }
  balance_ -= 1.0;
  const std::uint32_t doublings =
    std::min(std::max(aAttempt, 1U) - 1, kMaxBackoffDoublings);
  return random_.Jitter(kInitialBackoff * (1U << doublings), 0.5);
}

} // namespace azurecross

#include "RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace azurecross {
namespace {

/** An entry with few requests may still retry a few. */
constexpr double kReserve = 3.0;
/** Successes count for about this long. */
constexpr double kMemorySeconds = 30.0;
constexpr double kMaximumBalance = 200.0;
constexpr Duration kFirstBackOff = std::chrono::milliseconds(50);
constexpr std::uint32_t kMaximumDoublings = 6;

} // namespace

RetryBudget::RetryBudget(std::uint64_t aSeed, double aFraction)
  : random_(aSeed)
  , fraction_(aFraction)
  , balance_(kReserve)
{
}

double
RetryBudget::GetBalance(Time aNow) const
{
  // Returns to the reserve from both sides.
  const double decay = std::exp(-ToSeconds(aNow - updated_) / kMemorySeconds);
  return kReserve + (balance_ - kReserve) * decay;
}

void
RetryBudget::RecordSuccess(Time aNow)
{
  balance_ = std::min(kMaximumBalance, GetBalance(aNow) + fraction_);
  updated_ = aNow;
}

std::optional<Duration>
RetryBudget::TakeRetry(std::uint32_t aAttempt, Time aNow)
{
  balance_ = GetBalance(aNow);
  updated_ = aNow;
  if (balance_ < 1.0) {
    return std::nullopt;
  }
  balance_ -= 1.0;
  const std::uint32_t doublings =
    std::min(std::max(aAttempt, 1U) - 1, kMaximumDoublings);
  return random_.Jitter(kFirstBackOff * (1U << doublings), 0.5);
}

} // namespace azurecross

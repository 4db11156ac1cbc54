#include "RetryAllowance.h"

#include <algorithm>

namespace azurecross {

namespace {

/** Share of the bound that is used. The rest covers daemons not known yet. */
constexpr double kUsableShare = 0.5;

void
RemoveOlderThan(std::deque<Time>& aTimes, Time aOldest)
{
  while (!aTimes.empty() && aTimes.front() < aOldest) {
    aTimes.pop_front();
  }
}

} // namespace

void
RetryAllowance::SetDaemonCount(std::size_t aCount)
{
  daemons_ = std::max<std::size_t>(aCount, 1);
}

void
RetryAllowance::CountRequest(const PoolName& aPool, Time aNow)
{
  Usage& usage = usage_[aPool];
  Expire(usage, aNow);
  usage.requests_.push_back(aNow);
}

bool
RetryAllowance::TakeRetry(const PoolName& aPool, Time aNow)
{
  Usage& usage = usage_[aPool];
  Expire(usage, aNow);
  const double allowed =
    kUsableShare *
    (bounds_.ratio_ * static_cast<double>(usage.requests_.size()) +
     bounds_.slack_ / static_cast<double>(daemons_));
  if (static_cast<double>(usage.retries_.size()) + 1.0 > allowed) {
    return false;
  }
  usage.retries_.push_back(aNow);
  return true;
}

void
RetryAllowance::Expire(Usage& aUsage, Time aNow) const
{
  RemoveOlderThan(aUsage.requests_, aNow - bounds_.window_);
  RemoveOlderThan(aUsage.retries_, aNow - bounds_.window_);
}

} // namespace azurecross

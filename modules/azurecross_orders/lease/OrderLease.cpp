#include "OrderLease.h"

namespace azurecross {

namespace {

constexpr double kJitterFraction = 0.2;

} // namespace

OrderLease::OrderLease(OrderLeaseSettings aSettings, std::uint64_t aSeed)
  : settings_(aSettings)
  , random_(aSeed)
{
}

void
OrderLease::Tick(Time aNow, OrderActions& aActions)
{
  if (isHeld_ && aNow >= validUntil_) {
    // It may have lapsed while this process was paused.
    HandleLost();
  }
  if (callStart_ || aNow < nextCall_) {
    return;
  }
  callStart_ = aNow;
  nextCall_ = aNow + random_.Jitter(settings_.interval_, kJitterFraction);
  if (isHeld_) {
    aActions.emplace_back(RenewOrderLease{});
  } else {
    aActions.emplace_back(AcquireOrderLease{ settings_.timeToLive_ });
  }
}

void
OrderLease::HandleAcquired(FencingNumber aFencing, Time aNow)
{
  if (!callStart_ || isHeld_) {
    return;
  }
  validUntil_ = *callStart_ + settings_.timeToLive_ - settings_.safetyMargin_;
  callStart_.reset();
  isHeld_ = true;
  isStoreReachable_ = true;
  fencing_ = aFencing;
  acquired_ = aNow;
}

void
OrderLease::HandleRenewed()
{
  isStoreReachable_ = true;
  if (callStart_ && isHeld_) {
    validUntil_ = *callStart_ + settings_.timeToLive_ - settings_.safetyMargin_;
  }
  callStart_.reset();
}

void
OrderLease::HandleLost()
{
  isHeld_ = false;
  callStart_.reset();
}

void
OrderLease::HandleFailure()
{
  isStoreReachable_ = false;
  callStart_.reset();
}

void
OrderLease::Release(OrderActions& aActions)
{
  if (isHeld_) {
    aActions.emplace_back(ReleaseOrderLease{});
  }
  HandleLost();
}

bool
OrderLease::IsHeld(Time aNow) const
{
  return isHeld_ && aNow < validUntil_;
}

bool
OrderLease::AdmitsOrders(bool aChecksFencing, Time aNow) const
{
  return IsHeld(aNow) && isStoreReachable_ &&
         (aChecksFencing || aNow >= GetSettledTime());
}

} // namespace azurecross

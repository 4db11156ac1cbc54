#pragma once

#include "../messages/OrderActions.h"

#include <optional>

namespace azurecross {

struct OrderLeaseSettings
{
  Duration timeToLive_ = std::chrono::seconds(10);
  /** Between attempts to take or renew the lease; each is a store call. */
  Duration interval_ = std::chrono::seconds(3);
  /**
   * The holder stops this long before the lease can expire in the store: time
   * for an order on its way and for clocks that run at different speeds.
   */
  Duration safetyMargin_ = std::chrono::seconds(2);
  /**
   * How long the holder before may have been paused between its last check and
   * the moment its order left. Waited out where engines don't check fencing.
   */
  Duration pauseMargin_ = std::chrono::seconds(15);
};

/**
 * One entry's view of the lease for a group's orders.
 *
 * Validity is counted from the moment a call was made, not answered, so that it
 * ends here before it ends in the store. After a pause the next check finds the
 * time passed; nothing relies on timers having run.
 */
class OrderLease
{
public:
  OrderLease(OrderLeaseSettings aSettings, std::uint64_t aSeed);

  /** Adds the call that is due. */
  void Tick(Time aNow, OrderActions& aActions);

  /** The lease key was created; the store revision is the fencing number. */
  void HandleAcquired(FencingNumber aFencing, Time aNow);
  /** The lease was renewed and still had its key. */
  void HandleRenewed();
  /** Another entry holds the lease, or the lease has expired. */
  void HandleLost();
  /** The call failed; whether the store did it is not known. */
  void HandleFailure();
  /** Gives the lease back, if held. */
  void Release(OrderActions& aActions);

  /** @returns whether the lease is certainly held. */
  bool IsHeld(Time aNow) const;
  /**
   * @returns whether orders may be given now; not while the store does not
   * answer.
   * @param aChecksFencing whether the engines refuse older holders.
   */
  bool AdmitsOrders(bool aChecksFencing, Time aNow) const;
  /** @returns when the engines can't get orders of the holder before. */
  Time GetSettledTime() const { return acquired_ + settings_.pauseMargin_; }
  FencingNumber GetFencing() const { return fencing_; }
  /** @returns when the holder has to stop. */
  Time GetValidUntil() const { return validUntil_; }

private:
  OrderLeaseSettings settings_;
  Random random_;
  bool isHeld_ = false;
  /** False from a failed call to the next good one. */
  bool isStoreReachable_ = false;
  FencingNumber fencing_;
  Time acquired_;
  Time validUntil_;
  Time nextCall_;
  /** When the call under way was made. */
  std::optional<Time> callStart_;
};

} // namespace azurecross

#pragma once

#include "../lease/OrderLease.h"
#include "../messages/OrderActions.h"
#include "LoadPacer.h"

#include <azurecross_tables/azurecross_tables.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurecross {

struct OrderControllerSettings
{
  OrderLeaseSettings lease_;
  LoadPacerSettings pacer_;
  /** An order without an answer for this long has an unknown outcome. */
  Duration orderTimeout_ = std::chrono::minutes(5);
  /** Between two reads of the state of one engine. */
  Duration readInterval_ = std::chrono::seconds(10);
};

/**
 * Gives the orders for one arbitration group while this entry is its home
 * entry. One order is under way at a time, whether or not the engines check
 * fencing, so that a wrong table row stops at the first engine.
 *
 * Before each order it reads the engine's state. Where the engines don't check
 * fencing, a state that was read before the holder before could no longer act
 * does not count, and a busy engine is left alone.
 *
 * @code
 * controller.Tick(now, actions);
 * for (const OrderAction& action : actions) { CarryOut(action); }
 * @endcode
 */
class OrderController
{
public:
  OrderController(OrderControllerSettings aSettings, std::uint64_t aSeed);

  /** Takes the pool's row and the group's engines, without leaving ones. */
  void SetGroup(Pool aPool, std::vector<BackendServerId> aServers);
  /** Asks for a role; an empty one withdraws the request. */
  void SetRole(const BackendServerId& aServer, std::string aRole);
  /** Only the home entry holds the lease. */
  void SetHome(bool aIsHome, OrderActions& aActions);

  void HandleLeaseAcquired(FencingNumber aFencing, Time aNow);
  void HandleLeaseRenewed() { lease_.HandleRenewed(); }
  void HandleLeaseLost() { lease_.HandleLost(); }
  void HandleLeaseFailure() { lease_.HandleFailure(); }
  /** @param aRead the number of the `ReadEngineState` that this answers. */
  void HandleEngineState(const BackendServerId& aServer,
                         std::uint64_t aRead,
                         EngineState aState);
  void HandleOrderOutcome(OrderId aOrder, OrderOutcome aOutcome);

  /** Adds what is due: lease calls, reads and at most one order. */
  void Tick(Time aNow, OrderActions& aActions);

  const OrderLease& GetLease() const { return lease_; }
  bool HasOrderUnderWay() const { return underWay_.has_value(); }

private:
  struct Engine
  {
    std::string role_;
    /** Nothing while the state is not known. */
    std::optional<EngineState> state_;
    /** The last read; 0 if none counts. */
    std::uint64_t read_ = 0;
    Time readStart_;
    Time nextRead_;
  };

  struct UnderWay
  {
    OrderId id_;
    BackendServerId server_;
    Time deadline_;
  };

  void ReadStates(Time aNow, OrderActions& aActions);
  void GiveOrder(Time aNow, OrderActions& aActions);
  /** Forgets a state, so that it is read again before the next order. */
  void ForgetState(const BackendServerId& aServer);
  bool IsCurrent(const Engine& aEngine) const;

  OrderControllerSettings settings_;
  OrderLease lease_;
  LoadPacer pacer_;
  Pool pool_;
  std::map<BackendServerId, Engine> engines_;
  std::optional<UnderWay> underWay_;
  std::uint64_t lastOrder_ = 0;
  std::uint64_t lastRead_ = 0;
  bool isHome_ = false;
};

} // namespace azurecross

#include "OrderController.h"

#include "OrderPlanner.h"

#include <algorithm>

namespace azurecross {

OrderController::OrderController(OrderControllerSettings aSettings,
                                 std::uint64_t aSeed)
  : settings_(aSettings)
  , lease_(aSettings.lease_, aSeed)
  , pacer_(aSettings.pacer_)
{
}

void
OrderController::SetGroup(Pool aPool, std::vector<BackendServerId> aServers)
{
  pool_ = std::move(aPool);
  std::erase_if(engines_, [&](const auto& aEntry) {
    return std::find(aServers.begin(), aServers.end(), aEntry.first) ==
           aServers.end();
  });
  for (const BackendServerId& server : aServers) {
    engines_.try_emplace(server);
  }
}

void
OrderController::SetRole(const BackendServerId& aServer, std::string aRole)
{
  const auto found = engines_.find(aServer);
  if (found != engines_.end()) {
    found->second.role_ = std::move(aRole);
  }
}

void
OrderController::SetHome(bool aIsHome, OrderActions& aActions)
{
  isHome_ = aIsHome;
  // With an order under way the lease is left to expire: its answer would
  // otherwise come while the next holder is already acting.
  if (!isHome_ && !underWay_) {
    lease_.Release(aActions);
  }
}

void
OrderController::HandleLeaseAcquired(FencingNumber aFencing, Time aNow)
{
  lease_.HandleAcquired(aFencing, aNow);
  for (auto& [server, engine] : engines_) {
    engine.state_.reset();
    engine.read_ = 0;
    engine.nextRead_ = Time();
  }
}

void
OrderController::HandleEngineState(const BackendServerId& aServer,
                                   std::uint64_t aRead,
                                   EngineState aState)
{
  const auto found = engines_.find(aServer);
  if (found != engines_.end() && found->second.read_ == aRead) {
    found->second.state_ = std::move(aState);
  }
}

void
OrderController::HandleOrderOutcome(OrderId aOrder, OrderOutcome aOutcome)
{
  if (!underWay_ || underWay_->id_ != aOrder) {
    return;
  }
  ForgetState(underWay_->server_);
  underWay_.reset();
  if (aOutcome == OrderOutcome::Fenced) {
    lease_.HandleLost();
  }
}

void
OrderController::ForgetState(const BackendServerId& aServer)
{
  const auto found = engines_.find(aServer);
  if (found != engines_.end()) {
    found->second.state_.reset();
    // An answer to a read from before the order must not count.
    found->second.read_ = 0;
    found->second.nextRead_ = Time();
  }
}

void
OrderController::Tick(Time aNow, OrderActions& aActions)
{
  if (underWay_ && aNow >= underWay_->deadline_) {
    HandleOrderOutcome(underWay_->id_, OrderOutcome::Unknown);
  }
  if (!isHome_ || engines_.empty()) {
    return;
  }
  lease_.Tick(aNow, aActions);
  if (!lease_.AdmitsOrders(pool_.checksFencing_, aNow) || underWay_) {
    return;
  }
  ReadStates(aNow, aActions);
  GiveOrder(aNow, aActions);
}

void
OrderController::ReadStates(Time aNow, OrderActions& aActions)
{
  for (auto& [server, engine] : engines_) {
    if (aNow < engine.nextRead_) {
      continue;
    }
    engine.state_.reset();
    engine.read_ = ++lastRead_;
    engine.readStart_ = aNow;
    engine.nextRead_ = aNow + settings_.readInterval_;
    aActions.emplace_back(ReadEngineState{ server, engine.read_ });
  }
}

bool
OrderController::IsCurrent(const Engine& aEngine) const
{
  if (!aEngine.state_ || aEngine.state_->isBusy_) {
    return false;
  }
  return pool_.checksFencing_ || aEngine.readStart_ >= lease_.GetSettledTime();
}

void
OrderController::GiveOrder(Time aNow, OrderActions& aActions)
{
  for (auto& [server, engine] : engines_) {
    if (!IsCurrent(engine)) {
      continue;
    }
    const auto order = PlanOrder(pool_, engine.role_, *engine.state_);
    if (!order) {
      continue;
    }
    if (order->kind_ != OrderKind::ChangeRole && !pacer_.TryStart(aNow)) {
      continue;
    }
    const OrderId id(++lastOrder_);
    underWay_ = UnderWay{ id, server, aNow + settings_.orderTimeout_ };
    aActions.emplace_back(SendEngineOrder{
      id, server, *order, lease_.GetFencing(), lease_.GetValidUntil() });
    return;
  }
}

} // namespace azurecross

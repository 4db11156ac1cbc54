#include "OrderShell.h"

#include "EngineStateReport.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace azurecross {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kOrderPrefix = "azurecross/orders/";
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusConflict = 409;

std::string
MakeOrderKey(const GroupId& aGroup)
{
  return std::string(kOrderPrefix) + aGroup.pool_.GetValue() + "/" +
         aGroup.zone_.GetValue() + "/" + std::to_string(aGroup.shard_);
}

void
LogOrder(const SendEngineOrder& aOrder, std::string_view aOutcome)
{
  WriteLog(LogLevel::Info,
           "engine order",
           { { "backend_server", aOrder.server_ },
             { "action", kOrderKindNames.FindName(aOrder.order_.kind_) },
             { "name", aOrder.order_.name_ },
             { "order_version", aOrder.order_.version_ },
             { "fencing", aOrder.fencing_.GetValue() },
             { "outcome", aOutcome } });
}

} // namespace

OrderShell::OrderShell(asio::io_context& aContext,
                       const ControlSettings& aSettings,
                       EtcdClient& aStore)
  : context_(aContext)
  , leases_(aStore, aSettings.entryId_.GetValue())
  , client_(aContext.get_executor())
  , map_(std::make_shared<GroupMap>())
{
}

void
OrderShell::SetGroups(const Tables::Version& aTables,
                      const std::shared_ptr<const GroupMap>& aGroups,
                      const std::vector<GroupId>& aHomes)
{
  map_ = aGroups;
  if (aTables == nullptr) {
    return;
  }
  for (auto& [id, group] : groups_) {
    if (std::find(aHomes.begin(), aHomes.end(), id) == aHomes.end()) {
      OrderActions actions;
      group->controller_.SetHome(false, actions);
      Process(group, std::move(actions));
    }
  }
  for (const GroupId& id : aHomes) {
    const auto content = map_->groups_.find(id);
    const Pool* pool = aTables->FindPool(id.pool_);
    const bool takesOrders = content != map_->groups_.end() &&
                             pool != nullptr && pool->kind_ == PoolKind::Engine;
    if (takesOrders) {
      SetGroup(id, *pool, content->second);
    }
  }
}

void
OrderShell::SetGroup(const GroupId& aId,
                     const Pool& aPool,
                     const GroupMap::Group& aContent)
{
  GroupPointer& group = groups_[aId];
  if (group == nullptr) {
    group =
      std::make_shared<Group>(OrderControllerSettings{}, DrawSystemSeed());
    group->key_ = MakeOrderKey(aId);
  }
  std::vector<BackendServerId> servers;
  for (const BackendServerDescription& server : aContent.servers_) {
    if (!server.isLeaving_) {
      servers.push_back(server.id_);
    }
  }
  group->controller_.SetGroup(aPool, std::move(servers));
  OrderActions actions;
  group->controller_.SetHome(true, actions);
  Process(group, std::move(actions));
}

void
OrderShell::Tick(Time aNow)
{
  for (const auto& [id, group] : groups_) {
    OrderActions actions;
    group->controller_.Tick(aNow, actions);
    Process(group, std::move(actions));
  }
}

void
OrderShell::Release()
{
  for (const auto& [id, group] : groups_) {
    OrderActions actions;
    group->controller_.SetHome(false, actions);
    Process(group, std::move(actions));
  }
}

void
OrderShell::Process(const GroupPointer& aGroup, OrderActions aActions)
{
  for (const OrderAction& action : aActions) {
    std::visit([&](const auto& aContent) { Do(aGroup, aContent); }, action);
  }
}

void
OrderShell::Do(const GroupPointer& aGroup, const AcquireOrderLease& aAction)
{
  asio::co_spawn(
    context_, Acquire(aGroup, aAction.timeToLive_), asio::detached);
}

void
OrderShell::Do(const GroupPointer& aGroup, const RenewOrderLease&)
{
  asio::co_spawn(context_, Renew(aGroup), asio::detached);
}

void
OrderShell::Do(const GroupPointer& aGroup, const ReleaseOrderLease&)
{
  asio::co_spawn(context_, Revoke(aGroup->grant_.lease_), asio::detached);
  aGroup->grant_ = {};
}

void
OrderShell::Do(const GroupPointer& aGroup, const ReadEngineState& aAction)
{
  asio::co_spawn(context_, Read(aGroup, aAction), asio::detached);
}

void
OrderShell::Do(const GroupPointer& aGroup, const SendEngineOrder& aAction)
{
  asio::co_spawn(context_, Send(aGroup, aAction), asio::detached);
}

asio::awaitable<void>
OrderShell::Acquire(GroupPointer aGroup, Duration aTimeToLive)
{
  const auto grant = co_await leases_.Acquire(aGroup->key_, aTimeToLive);
  if (grant.has_error()) {
    aGroup->controller_.HandleLeaseFailure();
  } else if (!*grant) {
    aGroup->controller_.HandleLeaseLost();
  } else {
    aGroup->grant_ = **grant;
    aGroup->controller_.HandleLeaseAcquired(aGroup->grant_.fencing_,
                                            ReadMonotonicTime());
  }
}

asio::awaitable<void>
OrderShell::Renew(GroupPointer aGroup)
{
  const auto isHeld = co_await leases_.Renew(aGroup->key_, aGroup->grant_);
  if (isHeld.has_error()) {
    aGroup->controller_.HandleLeaseFailure();
  } else if (*isHeld) {
    aGroup->controller_.HandleLeaseRenewed();
  } else {
    WriteLog(LogLevel::Warning,
             "order lease lost",
             { { "key", aGroup->key_ },
               { "fencing", aGroup->grant_.fencing_.GetValue() } });
    aGroup->controller_.HandleLeaseLost();
  }
}

asio::awaitable<void>
OrderShell::Revoke(LeaseId aLease)
{
  if (aLease.GetValue() != 0) {
    // A lease that is not revoked expires by itself.
    co_await leases_.Release(aLease);
  }
}

std::optional<SocketAddress>
OrderShell::FindAddress(const BackendServerId& aServer)
{
  const auto found = map_->servers_.find(aServer);
  if (found == map_->servers_.end()) {
    return std::nullopt;
  }
  return found->second.address_;
}

asio::awaitable<void>
OrderShell::Read(GroupPointer aGroup, ReadEngineState aAction)
{
  const auto address = FindAddress(aAction.server_);
  if (!address) {
    co_return;
  }
  HttpRequest request;
  request.target_ = "/load";
  const auto answer = co_await client_.Send(*address, std::move(request));
  if (answer.has_error() || answer->status_ != kStatusOk) {
    co_return;
  }
  const auto state =
    CaptureResult([&] { return ParseEngineState(answer->body_); });
  if (state.has_error()) {
    WriteLog(LogLevel::Warning,
             "engine state refused",
             { { "backend_server", aAction.server_ },
               { "error", state.error().message_ } });
    co_return;
  }
  aGroup->controller_.HandleEngineState(aAction.server_, aAction.read_, *state);
}

asio::awaitable<void>
OrderShell::Send(GroupPointer aGroup, SendEngineOrder aAction)
{
  const auto address = FindAddress(aAction.server_);
  if (!address || ReadMonotonicTime() >= aAction.sendBefore_) {
    aGroup->controller_.HandleOrderOutcome(aAction.id_, OrderOutcome::Failed);
    co_return;
  }
  HttpRequest request;
  request.method_ = "POST";
  request.target_ = "/orders";
  request.headers_["Content-Type"] = "application/json";
  request.body_ = SerializeEngineOrder(aAction);
  const auto answer = co_await client_.Send(*address, std::move(request));
  OrderOutcome outcome = OrderOutcome::Unknown;
  if (answer.has_error()) {
    outcome = answer.error().verdict_ == Verdict::NotRun
                ? OrderOutcome::Failed
                : OrderOutcome::Unknown;
  } else if (answer->status_ == kStatusOk) {
    outcome = OrderOutcome::Done;
  } else if (answer->status_ == kStatusConflict) {
    outcome = OrderOutcome::Fenced;
  } else {
    outcome = OrderOutcome::Failed;
  }
  LogOrder(aAction, kOrderOutcomeNames.FindName(outcome));
  aGroup->controller_.HandleOrderOutcome(aAction.id_, outcome);
}

} // namespace azurecross

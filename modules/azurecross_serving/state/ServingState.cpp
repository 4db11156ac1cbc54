#include "ServingState.h"

namespace azurecross {

namespace {

/** How long a registration that lapsed in an outage of the store may stay
 * missing; the platform restores living ones within two seconds. */
constexpr Duration kConfirmTime = std::chrono::seconds(2);
/** How long other daemons are told that a server leaves: several reports, and
 * longer than an engine's notice. */
constexpr Duration kLeavingTime = std::chrono::seconds(3);
/** Taken off the bound for removed keys: clocks differ in speed and a request
 * spends time on its way. */
constexpr Duration kKeyMargin = std::chrono::milliseconds(300);

} // namespace

ServingState::ServingState(const ServingSettings& aSettings,
                           DecisionLog& aLog,
                           ServingMetrics& aMetrics)
  : log_(aLog)
  , metrics_(aMetrics)
  , directory_(kConfirmTime)
  , retries_(aSettings.retryBounds_)
  , freshness_(aSettings.maxKeyRevocationDelay_, kKeyMargin)
{
}

bool
ServingState::IsServing(Time aBootNow) const
{
  return tables_ && (!tables_->HasCustomers() || freshness_.IsFresh(aBootNow));
}

std::optional<EngineTraits>
ServingState::FindEngine(const PoolName& aPool) const
{
  const ServingPool* pool = tables_ ? tables_->FindPool(aPool) : nullptr;
  return pool == nullptr ? std::nullopt : pool->engine_;
}

void
ServingState::ApplyTables(std::optional<ServingTables::Content> aContent,
                          Time aNow)
{
  if (!aContent) {
    return;
  }
  // An older version can come from a watch that lags behind a read.
  if (tables_ && aContent->version_ <= tables_->GetVersion()) {
    return;
  }
  const std::uint64_t before = tables_ ? tables_->GetVersion() : 0;
  tables_ = std::make_shared<const ServingTables>(std::move(*aContent));
  for (const auto& [id, record] : directory_.GetAll()) {
    board_.Update(record, FindEngine(record.pool_), aNow);
  }
  metrics_.SetTablesVersion(tables_->GetVersion());
  log_.Write(Decision::TablesApplied,
             { { "version", tables_->GetVersion() },
               { "version_before", before },
               { "routes", tables_->GetRoutes().size() } });
  NotifyLoadChanged();
}

void
ServingState::ConfirmTables(Time aSentAt)
{
  freshness_.Prove(aSentAt);
}

void
ServingState::TakeRecord(const ServerRecord& aRecord, Time aNow)
{
  const ServerRecord* known = directory_.Find(aRecord.id_);
  const bool wasDraining =
    known != nullptr && known->state_ == ServerState::Draining;
  const ServerChange change = directory_.Update(aRecord);
  if (change == ServerChange::None) {
    return;
  }
  if (change == ServerChange::Restarted) {
    board_.Restart(aRecord.id_, aNow);
  }
  board_.Update(aRecord, FindEngine(aRecord.pool_), aNow);
  log_.Write(Decision::ServerChanged,
             { { "backend_server", aRecord.id_ },
               { "change", kServerChangeNames.FindName(change) },
               { "pool", aRecord.pool_ },
               { "address", aRecord.address_.Format() },
               { "availability_zone", aRecord.zone_ },
               { "state", kServerStateNames.FindName(aRecord.state_) },
               { "slots", aRecord.slots_ } });
  if (aRecord.state_ == ServerState::Draining && !wasDraining) {
    Leave(aRecord.id_, aNow);
  }
}

void
ServingState::TakeRemoval(const BackendServerId& aId,
                          std::string_view aReason,
                          Time aNow)
{
  const ServerRecord* known = directory_.Find(aId);
  const bool wasReady = known != nullptr && known->state_ == ServerState::Ready;
  if (directory_.Remove(aId) == ServerChange::None) {
    return;
  }
  log_.Write(Decision::ServerChanged,
             { { "backend_server", aId },
               { "change", kServerChangeNames.FindName(ServerChange::Removed) },
               { "reason", aReason } });
  // A server that never said that it drains still serves for a while.
  if (wasReady) {
    Leave(aId, aNow);
  }
  board_.Remove(aId);
}

void
ServingState::Leave(const BackendServerId& aId, Time aNow)
{
  leavingSince_[aId] = aNow;
  if (onLeaving_) {
    onLeaving_(aId);
  }
}

void
ServingState::HandleLeavingNotice(const BackendServerId& aServer,
                                  std::string_view aSource,
                                  Time aNow)
{
  if (isStoreReachable_ || !directory_.MarkDraining(aServer)) {
    return;
  }
  const ServerRecord& record = *directory_.Find(aServer);
  board_.Update(record, FindEngine(record.pool_), aNow);
  log_.Write(
    Decision::ServerChanged,
    { { "backend_server", aServer },
      { "change", kServerChangeNames.FindName(ServerChange::BeganDraining) },
      { "reason", aSource } });
  Leave(aServer, aNow);
}

std::vector<BackendServerId>
ServingState::GetLeavingServers() const
{
  std::vector<BackendServerId> leaving;
  for (const auto& [id, since] : leavingSince_) {
    leaving.push_back(id);
  }
  return leaving;
}

void
ServingState::ApplyServerList(const std::vector<ServerEvent>& aServers,
                              bool aIsAfterOutage,
                              Time aNow)
{
  std::set<BackendServerId> listed;
  for (const ServerEvent& server : aServers) {
    if (server.record_) {
      listed.insert(server.id_);
    }
  }
  ApplyServerEvents(aServers, aIsAfterOutage, aNow);
  for (const BackendServerId& id : directory_.FindMissing(listed)) {
    if (aIsAfterOutage) {
      directory_.SuspectRemoval(id, aNow);
    } else {
      TakeRemoval(id, "not listed", aNow);
    }
  }
  NotifyLoadChanged();
}

void
ServingState::ApplyServerEvents(const std::vector<ServerEvent>& aEvents,
                                bool aIsAfterOutage,
                                Time aNow)
{
  for (const ServerEvent& event : aEvents) {
    if (event.record_) {
      TakeRecord(*event.record_, aNow);
    } else if (aIsAfterOutage) {
      directory_.SuspectRemoval(event.id_, aNow);
    } else {
      TakeRemoval(event.id_, "registration removed", aNow);
    }
  }
  NotifyLoadChanged();
}

void
ServingState::Tick(Time aNow, Time aBootNow)
{
  for (const BackendServerId& id : directory_.RemoveUnconfirmed(aNow)) {
    log_.Write(
      Decision::ServerChanged,
      { { "backend_server", id },
        { "change", kServerChangeNames.FindName(ServerChange::Removed) },
        { "reason", "still missing after an outage of the store" } });
    Leave(id, aNow);
    board_.Remove(id);
  }
  std::erase_if(leavingSince_, [&](const auto& aLeaving) {
    return aNow - aLeaving.second > kLeavingTime;
  });
  const std::size_t peers = board_.ExpirePeers(aNow);
  retries_.SetDaemons(peers + 1);
  metrics_.SetLivePeers(peers);
  metrics_.SetTablesConfirmationAge(
    freshness_.GetAge(aBootNow).value_or(Duration::zero()));
}

} // namespace azurecross

#include "ServingState.h"

namespace azurecross {

namespace {

/** Time after which a registration that expired during an outage of the store
 * counts as removed; the platform restores the registrations of live servers
 * within two seconds. */
constexpr Duration kRemovalConfirmationTime = std::chrono::seconds(2);
/** Time for which load reports list a leaving server: covers several reports
 * and is longer than the notice period of an engine. */
constexpr Duration kLeavingNoticeLifetime = std::chrono::seconds(3);
/** Subtracted from the key revocation delay, to allow for clock drift and for
 * the transit time of a request. */
constexpr Duration kKeyRevocationMargin = std::chrono::milliseconds(300);
/** Interval between updates of the rates at which engines read prompts. */
constexpr Duration kPaceUpdateInterval = std::chrono::milliseconds(250);
/** Time for which generations may resume in a zone after this daemon has
 * learned of its evacuation. A change reaches the daemons within two seconds,
 * which leaves a second of the five that operators allow. */
constexpr Duration kResumeGracePeriod = std::chrono::seconds(2);

} // namespace

ServingState::ServingState(const ServingSettings& aSettings,
                           DecisionLog& aLog,
                           ServingMetrics& aMetrics)
  : log_(aLog)
  , metrics_(aMetrics)
  , directory_(kRemovalConfirmationTime)
  , retryBudget_(aSettings.retryBounds_)
  , quarantine_(HashBytes(aSettings.entryId_))
  , limiter_(DrawSystemSeed())
  , keyFreshness_(aSettings.maxKeyRevocationDelay_, kKeyRevocationMargin)
  , warmUpBound_(aSettings.warmUpBound_)
  , requiresCustomers_(aSettings.requiresCustomers_)
{
  quarantine_.SetExempt(aSettings.exemptFingerprints_);
}

bool
ServingState::IsServing(Time aBootNow) const
{
  return tables_ &&
         (!tables_->NeedApiKeys() || keyFreshness_.IsFresh(aBootNow));
}

bool
ServingState::RequiresCustomers() const
{
  return requiresCustomers_ || (tables_ && tables_->NeedApiKeys());
}

std::optional<EngineTraits>
ServingState::FindEngineTraits(const PoolName& aPool) const
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
  // A watch that lags behind a read can return an older version.
  if (tables_ && aContent->version_ <= tables_->GetVersion()) {
    return;
  }
  // Tables without a list of customers let in everybody. After tables with one,
  // that can't be told from a list that was left out by mistake.
  if (RequiresCustomers() && !aContent->customers_) {
    RejectTables(aContent->version_, "the list of customers is missing");
    return;
  }
  const std::uint64_t previousVersion = tables_ ? tables_->GetVersion() : 0;
  tables_ = std::make_shared<const ServingTables>(std::move(*aContent));
  for (const auto& [id, record] : directory_.GetAll()) {
    loadTracker_.Update(record, FindEngineTraits(record.pool_), aNow);
    // The servers may have been read before the tables.
    const ServerLoad* server = loadTracker_.Find(id);
    if (server != nullptr) {
      LimitWarmUp(id, server->warmUpEnd_ - aNow, "registration", aNow);
    }
  }
  metrics_.SetTablesVersion(tables_->GetVersion());
  log_.Write(Decision::TablesApplied,
             { { "version", tables_->GetVersion() },
               { "version_before", previousVersion },
               { "routes", tables_->GetRoutes().size() },
               { "customers", tables_->CountCustomers() },
               { "needs_api_keys", tables_->NeedApiKeys() } });
  NotifyLoadChanged();
}

void
ServingState::RejectTables(std::uint64_t aVersion, const std::string& aReason)
{
  // The same tables are read again and again.
  if (aVersion == rejectedVersion_ && aReason == rejectionReason_) {
    return;
  }
  rejectedVersion_ = aVersion;
  rejectionReason_ = aReason;
  metrics_.CountRejectedTables();
  log_.Write(Decision::TablesRejected,
             { { "version", aVersion },
               { "version_in_force", tables_ ? tables_->GetVersion() : 0 },
               { "reason", aReason } });
}

void
ServingState::ConfirmTables(std::uint64_t aVersion, Time aSentAt)
{
  const std::uint64_t currentVersion = tables_ ? tables_->GetVersion() : 0;
  const std::uint64_t newest = std::max(peerVersion_, currentVersion);
  const bool isOutdated = aVersion < newest;
  if (isOutdated != areStoreTablesOutdated_) {
    log_.Write(Decision::StoreTablesCompared,
               { { "outcome", isOutdated ? "outdated" : "newest" },
                 { "version", aVersion },
                 { "newest_version", newest } });
  }
  areStoreTablesOutdated_ = isOutdated;
  // A newer version than the current one has been rejected.
  if (!isOutdated && aVersion == currentVersion) {
    keyFreshness_.ConfirmUpToDate(aSentAt);
  }
}

void
ServingState::RecordPeerVersion(std::uint64_t aVersion)
{
  peerVersion_ = std::max(peerVersion_, aVersion);
}

void
ServingState::ApplyEvacuatedZones(const EvacuatedZones& aZones, Time aNow)
{
  for (const ZoneEvacuationChange& change : evacuations_.Apply(aZones, aNow)) {
    ApplyEvacuationChange(change, aNow);
  }
}

void
ServingState::ApplyEvacuationChange(const ZoneEvacuationChange& aChange,
                                    Time aNow)
{
  loadTracker_.SetEvacuated(aChange.zone_, aChange.isEvacuated_);
  std::size_t servers = 0;
  std::size_t runs = 0;
  for (const auto& [id, server] : loadTracker_.GetServers()) {
    if (server.record_.zone_ != aChange.zone_) {
      continue;
    }
    ++servers;
    runs += server.ownUsage_.runs_;
    if (!aChange.isEvacuated_) {
      LimitWarmUp(
        id, GetWarmUpTime(server.record_.pool_), "zone taken back", aNow);
    }
  }
  metrics_.SetEvacuatedZones(evacuations_.CountEvacuated());
  // An unknown zone has no servers.
  log_.Write(Decision::ZoneEvacuationChanged,
             { { "availability_zone", aChange.zone_ },
               { "change", aChange.isEvacuated_ ? "evacuated" : "taken_back" },
               { "backend_servers", servers },
               { "running", runs } });
  NotifyLoadChanged();
}

Duration
ServingState::GetWarmUpTime(const PoolName& aPool) const
{
  const ServingPool* pool = tables_ ? tables_->FindPool(aPool) : nullptr;
  return pool != nullptr && pool->warmUp_ ? pool->warmUp_->time_
                                          : Duration::zero();
}

void
ServingState::LimitWarmUp(const BackendServerId& aServer,
                          Duration aRemaining,
                          std::string_view aSource,
                          Time aNow)
{
  const ServerRecord* server = directory_.Find(aServer);
  const ServingPool* pool =
    server != nullptr && tables_ ? tables_->FindPool(server->pool_) : nullptr;
  if (!warmUpBound_ || pool == nullptr || !pool->warmUp_ ||
      aRemaining <= Duration::zero()) {
    return;
  }
  const double rate = pool->warmUp_->requestsPerSecond_;
  const double maxInSecond =
    warmUpBound_->factor_ * rate + warmUpBound_->slack_;
  loadTracker_.SetWarmUpEnd(aServer, aNow + aRemaining);
  if (limiter_.SetWarmUp(aServer, rate, maxInSecond, aRemaining, aNow)) {
    log_.Write(Decision::WarmUpChanged,
               { { "backend_server", aServer },
                 { "pool", pool->name_ },
                 { "requests_per_s", rate },
                 { "for_s", ToSeconds(aRemaining) },
                 { "source", aSource } });
  }
}

void
ServingState::FinishRun(RunId aRun, RunOutcome aEnd, Time aNow)
{
  const RunDescription* run = loadTracker_.FindRun(aRun);
  const bool isUnreachable = run != nullptr && aEnd == RunOutcome::Unreachable;
  const BackendServerId server =
    isUnreachable ? run->server_ : BackendServerId();
  loadTracker_.Finish(aRun, aEnd, aNow);
  // It may be starting again, which only its registration tells.
  const ServerLoad* load =
    isUnreachable && !isStoreReachable_ ? loadTracker_.Find(server) : nullptr;
  if (load != nullptr) {
    const Duration warmUpTime = GetWarmUpTime(load->record_.pool_);
    const Duration remaining = load->suspectUntil_ - aNow + warmUpTime;
    LimitWarmUp(server,
                warmUpTime > Duration::zero() ? remaining : warmUpTime,
                "unreachable",
                aNow);
  }
}

bool
ServingState::MayResumeAt(const BackendServerId& aServer, Time aNow) const
{
  const ServerLoad* server = loadTracker_.Find(aServer);
  return server == nullptr ||
         !evacuations_.IsEvacuatedFor(
           server->record_.zone_, kResumeGracePeriod, aNow);
}

void
ServingState::ApplyRegistration(const ServerRecord& aRecord, Time aNow)
{
  const ServerRecord* previous = directory_.Find(aRecord.id_);
  const bool wasDraining =
    previous != nullptr && previous->state_ == ServerState::Draining;
  const ServerChange change = directory_.Update(aRecord, aNow);
  if (change == ServerChange::None) {
    return;
  }
  if (change == ServerChange::Restarted) {
    loadTracker_.Restart(aRecord.id_, aNow);
    limiter_.Forget(aRecord.id_, aNow);
  }
  // The state can differ from that of a registration that is out of date.
  const ServerRecord record = *directory_.Find(aRecord.id_);
  loadTracker_.Update(record, FindEngineTraits(record.pool_), aNow);
  log_.Write(Decision::ServerChanged,
             { { "backend_server", record.id_ },
               { "change", kServerChangeNames.FindName(change) },
               { "pool", record.pool_ },
               { "address", record.address_.Format() },
               { "availability_zone", record.zone_ },
               { "state", kServerStateNames.FindName(record.state_) },
               { "slots", record.slots_ } });
  LimitWarmUp(record.id_, record.remainingWarmUp_, "registration", aNow);
  if (record.state_ == ServerState::Draining && !wasDraining) {
    MarkLeaving(record.id_, aNow);
  }
}

void
ServingState::RemoveServer(const BackendServerId& aId,
                           std::string_view aReason,
                           Time aNow)
{
  const ServerRecord* previous = directory_.Find(aId);
  const bool wasReady =
    previous != nullptr && previous->state_ == ServerState::Ready;
  if (directory_.Remove(aId, aNow) == ServerChange::None) {
    return;
  }
  log_.Write(Decision::ServerChanged,
             { { "backend_server", aId },
               { "change", kServerChangeNames.FindName(ServerChange::Removed) },
               { "reason", aReason } });
  // A server that is removed without having drained keeps running for a while.
  if (wasReady) {
    MarkLeaving(aId, aNow);
  }
  loadTracker_.Remove(aId);
  limiter_.Forget(aId, aNow);
}

void
ServingState::MarkLeaving(const BackendServerId& aId, Time aNow)
{
  leavingSince_[aId] = aNow;
  if (onServerLeaving_) {
    onServerLeaving_(aId);
  }
}

void
ServingState::HandleLeavingNotice(const BackendServerId& aServer,
                                  std::string_view aSource,
                                  Time aNow)
{
  if (!isStoreReachable_ && directory_.MarkDraining(aServer)) {
    ApplyDraining(aServer, aSource, aNow);
  }
}

void
ServingState::PauseServer(const BackendServerId& aServer,
                          Duration aTime,
                          Time aNow)
{
  loadTracker_.Pause(aServer, aNow + aTime);
  log_.Write(Decision::ServerPaused,
             { { "backend_server", aServer }, { "for_s", ToSeconds(aTime) } });
}

void
ServingState::RecordServerLeaving(const BackendServerId& aServer, Time aNow)
{
  if (directory_.MarkLeaving(aServer, aNow)) {
    ApplyDraining(aServer, "stated in an answer", aNow);
  }
}

void
ServingState::ApplyDraining(const BackendServerId& aServer,
                            std::string_view aSource,
                            Time aNow)
{
  const ServerRecord& record = *directory_.Find(aServer);
  loadTracker_.Update(record, FindEngineTraits(record.pool_), aNow);
  log_.Write(
    Decision::ServerChanged,
    { { "backend_server", aServer },
      { "change", kServerChangeNames.FindName(ServerChange::BeganDraining) },
      { "reason", aSource } });
  MarkLeaving(aServer, aNow);
}

std::vector<BackendServerId>
ServingState::GetLeavingServers() const
{
  std::vector<BackendServerId> leaving;
  for (const auto& [id, leavingAt] : leavingSince_) {
    leaving.push_back(id);
  }
  return leaving;
}

void
ServingState::ApplyServerList(const std::vector<ServerEvent>& aServers,
                              bool aIsAfterOutage,
                              Time aNow)
{
  std::set<BackendServerId> listedIds;
  for (const ServerEvent& server : aServers) {
    if (server.record_) {
      listedIds.insert(server.id_);
    }
  }
  ApplyServerEvents(aServers, aIsAfterOutage, aNow);
  for (const BackendServerId& id : directory_.FindUnlisted(listedIds)) {
    if (aIsAfterOutage) {
      directory_.MarkMissing(id, aNow);
    } else {
      RemoveServer(id, "not listed", aNow);
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
      ApplyRegistration(*event.record_, aNow);
    } else if (aIsAfterOutage) {
      directory_.MarkMissing(event.id_, aNow);
    } else {
      RemoveServer(event.id_, "registration removed", aNow);
    }
  }
  // Before waiting requests are sent to new engines.
  PromptPacer::Update(loadTracker_, limiter_);
  NotifyLoadChanged();
}

void
ServingState::RecordServerLimit(const BackendServerId& aServer,
                                std::optional<double> aRequestsPerSecond,
                                Time aSentAt,
                                Time aNow)
{
  // A server that has left answers its last requests.
  if (directory_.Find(aServer) == nullptr) {
    return;
  }
  limiter_.GetTable().RecordAnswer(aServer, aRequestsPerSecond, aSentAt, aNow);
  LogLimitChanges();
}

void
ServingState::MergeServerLimits(const std::vector<ServerLimit>& aLimits)
{
  for (const ServerLimit& limit : aLimits) {
    limiter_.GetTable().Merge(limit);
  }
  LogLimitChanges();
}

void
ServingState::HandlePermitMessage(const PermitMessage& aMessage, Time aNow)
{
  limiter_.Handle(aMessage, aNow);
  LogLimitChanges();
  SendPermitMessages();
  if (aMessage.kind_ == PermitMessageKind::Reply) {
    NotifyLoadChanged();
  }
}

void
ServingState::CountUnplacedRequest(const BackendServerId& aServer, Time aNow)
{
  const ServerRecord* server = directory_.Find(aServer);
  if (server != nullptr) {
    limiter_.Use(aServer, server->zone_, aNow);
    SendPermitMessages();
  }
}

void
ServingState::SendPermitMessages()
{
  const std::vector<PermitMessage> messages = limiter_.TakeMessages();
  if (!messages.empty() && onPermitMessages_) {
    onPermitMessages_(messages);
  }
}

void
ServingState::LogLimitChanges()
{
  for (const ServerLimitChange& change : limiter_.GetTable().TakeChanges()) {
    log_.Write(Decision::ServerLimitChanged,
               { { "backend_server", change.server_ },
                 { "requests_per_s", change.after_.value_or(-1.0) },
                 { "requests_per_s_before", change.before_.value_or(-1.0) },
                 { "source", change.isFromPeer_ ? "peer" : "answer" } });
  }
  metrics_.SetLimitedServers(limiter_.GetTable().CountLimited());
  metrics_.SetColdServers(limiter_.CountCold());
}

void
ServingState::RecordAnswered(const std::vector<Fingerprint>& aFingerprints,
                             Time aNow)
{
  quarantine_.RecordAnswer(aFingerprints, aNow);
  LogQuarantineEvents(aNow);
}

bool
ServingState::RecordServerDeath(const std::vector<Fingerprint>& aFingerprints,
                                const BackendServerId& aServer,
                                Time aDiedAt,
                                Time aNow)
{
  const ServerRecord* server = directory_.Find(aServer);
  const bool isNew = quarantine_.RecordDeath(
    aFingerprints,
    { aServer, server == nullptr ? 0 : server->startedUnixMs_, aDiedAt });
  LogQuarantineEvents(aNow);
  return isNew;
}

bool
ServingState::MergeEvidence(const std::vector<FingerprintEvidence>& aEvidence,
                            Time aNow)
{
  const bool isNew = quarantine_.Merge(aEvidence, aNow);
  LogQuarantineEvents(aNow);
  return isNew;
}

void
ServingState::LogQuarantineEvents(Time aNow)
{
  if (onCorrection_ && quarantine_.HasUntoldCorrections()) {
    onCorrection_();
  }
  for (const QuarantineEvent& event : quarantine_.TakeEvents()) {
    std::string deaths;
    for (const ServerDeath& death : event.evidence_.deaths_) {
      deaths.append(deaths.empty() ? "" : ", ")
        .append(death.server_.GetValue())
        .append(" ")
        .append(std::to_string(ToSeconds(aNow - death.at_)))
        .append(" s ago");
    }
    const Fingerprint& fingerprint = event.evidence_.fingerprint_;
    const bool isPart = fingerprint.kind_ == FingerprintKind::PromptPart;
    log_.Write(
      isPart ? Decision::PromptQuarantineChanged
             : Decision::RequestQuarantineChanged,
      { { isPart ? "part" : "fingerprint", FormatFingerprint(fingerprint) },
        { "change", kQuarantineChangeNames.FindName(event.change_) },
        { "deaths", event.evidence_.deaths_.size() },
        { isPart ? "engines" : "servers", deaths } });
    metrics_.CountQuarantineChange(fingerprint.kind_, event.change_);
  }
  SetQuarantineMetrics();
}

void
ServingState::SetQuarantineMetrics()
{
  for (const FingerprintKind kind : kFingerprintKinds) {
    metrics_.SetQuarantined(kind, quarantine_.CountQuarantined(kind));
  }
}

void
ServingState::Tick(Time aNow, Time aBootNow)
{
  if (aNow - pacesUpdatedAt_ >= kPaceUpdateInterval) {
    pacesUpdatedAt_ = aNow;
    PromptPacer::Update(loadTracker_, limiter_);
  }
  LogLimitChanges();
  metrics_.SetPermitCounts(limiter_.GetCounts());
  quarantine_.Tick(aNow);
  SetQuarantineMetrics();
  for (const ZoneEvacuationChange& change : evacuations_.Tick(aNow)) {
    ApplyEvacuationChange(change, aNow);
  }
  for (const BackendServerId& id : directory_.RemoveExpired(aNow)) {
    log_.Write(
      Decision::ServerChanged,
      { { "backend_server", id },
        { "change", kServerChangeNames.FindName(ServerChange::Removed) },
        { "reason", "still missing after an outage of the store" } });
    MarkLeaving(id, aNow);
    loadTracker_.Remove(id);
    limiter_.Forget(id, aNow);
  }
  for (const ServerRecord& record : directory_.ReleaseRestored(aNow)) {
    loadTracker_.Update(record, FindEngineTraits(record.pool_), aNow);
    log_.Write(
      Decision::ServerChanged,
      { { "backend_server", record.id_ },
        { "change", kServerChangeNames.FindName(ServerChange::Updated) },
        { "reason", "still registered after a restore of the store" },
        { "state", kServerStateNames.FindName(record.state_) } });
  }
  std::erase_if(leavingSince_, [&](const auto& aEntry) {
    return aNow - aEntry.second > kLeavingNoticeLifetime;
  });
  const std::size_t peerCount = loadTracker_.ExpirePeers(aNow);
  retryBudget_.SetDaemonCount(peerCount + 1);
  metrics_.SetLivePeers(peerCount);
  metrics_.SetTablesConfirmationAge(
    keyFreshness_.GetAge(aBootNow).value_or(Duration::zero()));
}

} // namespace azurecross

#include "ServerLoadTracker.h"

#include <algorithm>
#include <utility>

namespace azurecross {

namespace {

/** Engine speed before any observation: prefill of 7 tokens per millisecond and
 * 100 output tokens per second. */
constexpr double kAssumedSecondsPerPromptToken = 1.0 / 7000.0;
constexpr double kAssumedSecondsPerToken = 0.01;
/** Duration of a plain call before any observation. */
constexpr double kAssumedSecondsPerCall = 0.06;
/** Weight of the assumed values, in observations. */
constexpr double kAssumedWeight = 1.0;
/** Weight of the assumed time per output token. One read can return several
 * events, so a few short gaps are weak evidence of a fast engine. */
constexpr double kAssumedTokenGaps = 10.0;
/** Weight of the assumption that a server does not fail: a single failure is
 * weak evidence. */
constexpr double kAssumedSuccessfulRuns = 2.0;
/** Weight of a daemon's own observations relative to those of its peers, since
 * a server can fail for some callers only. */
constexpr double kOwnObservationFactor = 3.0;
/** Share of the expected remaining output that is charged as memory. The runs
 * of one engine end at different times, so they never all reach full size. */
constexpr double kRemainingOutputShare = 0.6;
/** Time for which placement avoids an unreachable server. The time doubles with
 * each further failure, up to the maximum. */
constexpr Duration kInitialSuspectTime = std::chrono::milliseconds(500);
constexpr Duration kMaximumSuspectTime = std::chrono::seconds(4);
constexpr std::uint32_t kMaximumDoublings = 3;
/** Two unreachable servers of one zone within this time indicate a partition
 * between zones. The zone is avoided for the same time. */
constexpr Duration kZoneSuspectTime = std::chrono::seconds(1);
/** Time after which the last report of a peer expires: five report intervals.
 */
constexpr Duration kPeerLifetime = std::chrono::milliseconds(1500);
/** Output growth is reported to the length predictor in steps of this size. */
constexpr std::uint32_t kGrowthStepTokens = 64;
/** Tokens of one measurement of an engine's pace. Events can arrive together,
 * so that single gaps are too short. */
constexpr std::uint32_t kPaceTokens = 24;
/** Prompt tokens of a run before any observation. */
constexpr double kAssumedPromptTokens = 2000.0;

double
GetMean(const ServerLoad& aServer,
        DecayedMean ServerStatistics::*aStatistic,
        double aAssumed,
        double aAssumedWeight)
{
  DecayedMean mean;
  mean.Add(aServer.ownStatistics_.GetLatest().*aStatistic,
           kOwnObservationFactor);
  mean.Add(aServer.peerStatistics_.*aStatistic);
  return mean.GetMean(aAssumed, aAssumedWeight);
}

/** @returns the entry of a server in a list sorted by server, added if it is
 * missing. */
template<typename Entry>
Entry&
FindOrAddEntry(std::vector<Entry>& aEntries, const BackendServerId& aServer)
{
  auto entry =
    std::lower_bound(aEntries.begin(),
                     aEntries.end(),
                     aServer,
                     [](const Entry& aLeft, const BackendServerId& aId) {
                       return aLeft.server_ < aId;
                     });
  if (entry == aEntries.end() || entry->server_ != aServer) {
    entry = aEntries.insert(entry, Entry{});
    entry->server_ = aServer;
  }
  return *entry;
}

void
AddToSummary(LoadSummary& aSummary,
             const std::vector<ServerUsage>& aUsage,
             const std::vector<ReportedStatistics>& aStatistics,
             const std::vector<ReportedPace>& aPaces,
             std::uint32_t aDaemonCount)
{
  aSummary.daemonCount_ += aDaemonCount;
  for (const ServerUsage& use : aUsage) {
    ServerUsage& sum = FindOrAddEntry(aSummary.usage_, use.server_);
    sum.runs_ += use.runs_;
    sum.memoryTokens_ += use.memoryTokens_;
    sum.pendingPromptTokens_ += use.pendingPromptTokens_;
  }
  for (const ReportedStatistics& report : aStatistics) {
    FindOrAddEntry(aSummary.statistics_, report.server_)
      .statistics_.Add(report.statistics_);
  }
  for (const ReportedPace& pace : aPaces) {
    ReportedPace& fastest = FindOrAddEntry(aSummary.paces_, pace.server_);
    const bool isFaster = fastest.secondsPerToken_ <= 0.0 ||
                          pace.secondsPerToken_ < fastest.secondsPerToken_;
    fastest.secondsPerToken_ =
      isFaster ? pace.secondsPerToken_ : fastest.secondsPerToken_;
  }
}

/** Forgets the failures of a zone after an answer, which shows that the zone is
 * reachable: servers that end refuse connections, and so do some networks on
 * behalf of servers that are cut off. */
template<typename ZoneFailures>
void
ForgetEarlierFailure(ZoneFailures& aFailures,
                     const AvailabilityZone& aZone,
                     Time aAnsweredAt)
{
  const auto failure = aFailures.find(aZone);
  const bool isEarlier =
    failure != aFailures.end() && failure->second.at_ < aAnsweredAt;
  if (isEarlier) {
    aFailures.erase(failure);
  }
}

} // namespace

double
ServerLoad::GetSecondsPerPromptToken() const
{
  return GetMean(*this,
                 &ServerStatistics::secondsPerPromptToken_,
                 kAssumedSecondsPerPromptToken,
                 kAssumedWeight);
}

double
ServerLoad::GetSecondsPerToken() const
{
  return GetMean(*this,
                 &ServerStatistics::secondsPerToken_,
                 kAssumedSecondsPerToken,
                 kAssumedTokenGaps);
}

std::optional<double>
ServerLoad::FindFastestPace(Time aNow) const
{
  const auto own = ownPace_.Find(aNow);
  const auto reported = peerPace_.Find(aNow);
  if (own && reported) {
    return std::min(*own, *reported);
  }
  return own ? own : reported;
}

double
ServerLoad::GetSecondsPerCall() const
{
  return GetMean(*this,
                 &ServerStatistics::secondsPerCall_,
                 kAssumedSecondsPerCall,
                 kAssumedWeight);
}

double
ServerLoad::GetFailureShare() const
{
  return GetMean(
    *this, &ServerStatistics::failureShare_, 0.0, kAssumedSuccessfulRuns);
}

ServerLoadTracker::ServerLoadTracker() = default;

void
ServerLoadTracker::Update(const ServerRecord& aRecord,
                          const std::optional<EngineTraits>& aEngine,
                          Time aNow)
{
  const auto [position, isNew] = servers_.try_emplace(aRecord.id_);
  ServerLoad& load = position->second;
  if (isNew) {
    load.prefixIndexId_ = nextPrefixIndexId_++;
    load.ownUsage_.server_ = aRecord.id_;
    load.peerUsage_.server_ = aRecord.id_;
    load.warmUpEnd_ = aNow + aRecord.remainingWarmUp_;
  }
  load.record_ = aRecord;
  load.engine_ = aEngine;
  load.isEvacuated_ = evacuatedZones_.contains(aRecord.zone_);
  if (isNew) {
    RecomputePeerTotals();
  }
}

void
ServerLoadTracker::Restart(const BackendServerId& aServer, Time aNow)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    return;
  }
  ServerLoad& load = found->second;
  prefixes_.RemoveServer(load.prefixIndexId_, aNow);
  load.prefixIndexId_ = nextPrefixIndexId_++;
  load.consecutiveFailures_ = 0;
  load.suspectUntil_ = Time();
  load.pausedUntil_ = Time();
  load.ownStatistics_.Reset();
  load.ownPace_ = TokenPace();
  load.peerPace_ = TokenPace();
}

void
ServerLoadTracker::SetWarmUpEnd(const BackendServerId& aServer, Time aEnd)
{
  const auto found = servers_.find(aServer);
  if (found != servers_.end()) {
    found->second.warmUpEnd_ = std::max(found->second.warmUpEnd_, aEnd);
  }
}

void
ServerLoadTracker::SetEvacuated(const AvailabilityZone& aZone,
                                bool aIsEvacuated)
{
  if (aIsEvacuated) {
    evacuatedZones_.insert(aZone);
  } else {
    evacuatedZones_.erase(aZone);
  }
  for (auto& [id, server] : servers_) {
    server.isEvacuated_ = evacuatedZones_.contains(server.record_.zone_);
  }
}

void
ServerLoadTracker::Pause(const BackendServerId& aServer, Time aUntil)
{
  const auto found = servers_.find(aServer);
  if (found != servers_.end()) {
    found->second.pausedUntil_ = std::max(found->second.pausedUntil_, aUntil);
  }
}

void
ServerLoadTracker::Remove(const BackendServerId& aServer)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    return;
  }
  found->second.record_.state_ = ServerState::Draining;
  if (found->second.ownUsage_.runs_ == 0) {
    servers_.erase(found);
  }
}

double
ServerLoadTracker::ComputeMemory(LengthPredictor::ClassIndex aClass,
                                 const GenerationDemand& aDemand,
                                 std::uint32_t aTokens) const
{
  const double expected =
    lengths_.PredictLength(aClass, aTokens, aDemand.outputLimit_);
  const double remaining = std::max(0.0, expected - aTokens);
  return aDemand.promptTokens_ + aTokens + kRemainingOutputShare * remaining;
}

double
ServerLoadTracker::PredictMemory(const RouteName& aRoute,
                                 const CustomerId& aCustomer,
                                 const GenerationDemand& aDemand,
                                 std::uint32_t aTokens) const
{
  return ComputeMemory(
    lengths_.FindOrAddClass(aRoute, ModelName(), aCustomer), aDemand, aTokens);
}

double
ServerLoadTracker::PredictRemainingOutput(const RouteName& aRoute,
                                          const CustomerId& aCustomer,
                                          const GenerationDemand& aDemand,
                                          std::uint32_t aTokens) const
{
  const double expected = lengths_.PredictLength(
    lengths_.FindOrAddClass(aRoute, ModelName(), aCustomer),
    aTokens,
    aDemand.outputLimit_);
  return std::max(0.0, expected - aTokens);
}

double
ServerLoadTracker::PredictOutputQuantile(const RouteName& aRoute,
                                         const CustomerId& aCustomer,
                                         const GenerationDemand& aDemand,
                                         double aProbability) const
{
  constexpr std::uint32_t kFirstTokens = 8;
  constexpr std::uint32_t kMaxTokens = std::uint32_t{ 1 } << 16U;
  const auto lengthClass =
    lengths_.FindOrAddClass(aRoute, ModelName(), aCustomer);
  const std::uint32_t limit = aDemand.outputLimit_ > 0
                                ? std::min(aDemand.outputLimit_, kMaxTokens)
                                : kMaxTokens;
  std::uint32_t tokens = std::min(kFirstTokens, limit);
  while (tokens < limit &&
         lengths_.PredictSurvival(lengthClass, 0, tokens) > aProbability) {
    tokens = std::min(2 * tokens, limit);
  }
  return tokens;
}

RunId
ServerLoadTracker::Start(const RunDescription& aRun)
{
  ServerLoad& server = servers_.at(aRun.server_);
  const RunId number = nextRunId_++;
  Run run;
  run.description_ = aRun;
  run.tokens_ = aRun.priorOutputTokens_;
  run.recordedTokens_ = aRun.priorOutputTokens_;
  run.lastEvent_ = aRun.startedAt_;
  ++server.ownUsage_.runs_;
  if (aRun.kind_ == CallKind::Generation) {
    run.lengthClass_ =
      lengths_.FindOrAddClass(aRun.route_, ModelName(), aRun.customer_);
    run.memory_ = ComputeMemory(run.lengthClass_, aRun.demand_, run.tokens_);
    server.ownUsage_.memoryTokens_ += run.memory_;
    if (aRun.priorOutputTokens_ == 0) {
      const std::uint32_t cached =
        FindCachedTokens(aRun.server_, aRun.demand_, aRun.startedAt_);
      // The lengths come from the caller and may contradict each other.
      run.pendingPromptTokens_ = aRun.demand_.promptTokens_ -
                                 std::min(cached, aRun.demand_.promptTokens_);
      run.promptTokensAhead_ =
        server.GetPendingPromptTokens() + run.pendingPromptTokens_;
      server.ownUsage_.pendingPromptTokens_ += run.pendingPromptTokens_;
      promptTokens_[server.record_.pool_].Add(run.pendingPromptTokens_);
      prefixes_.AddPrompt(
        server.prefixIndexId_, aRun.demand_.prefixHashes_, aRun.startedAt_);
    }
  }
  runs_.emplace(number, std::move(run));
  return number;
}

void
ServerLoadTracker::ClearPendingPrompt(Run& aRun, ServerLoad& aServer)
{
  aServer.ownUsage_.pendingPromptTokens_ = std::max(
    0.0, aServer.ownUsage_.pendingPromptTokens_ - aRun.pendingPromptTokens_);
  aRun.pendingPromptTokens_ = 0.0;
}

void
ServerLoadTracker::ObserveEvent(RunId aRun, std::uint32_t aTokens, Time aNow)
{
  const auto found = runs_.find(aRun);
  if (found == runs_.end()) {
    return;
  }
  Run& run = found->second;
  ServerLoad& server = servers_.at(run.description_.server_);
  const double since = ToSeconds(aNow - run.lastEvent_);
  if (run.pendingPromptTokens_ > 0.0) {
    server.ownStatistics_.Get(aNow).secondsPerPromptToken_.Add(
      ToSeconds(aNow - run.description_.startedAt_) / run.promptTokensAhead_);
    ClearPendingPrompt(run, server);
  } else if (aTokens > run.tokens_ && run.tokens_ > 0) {
    server.ownStatistics_.Get(aNow).secondsPerToken_.Add(
      since / (aTokens - run.tokens_));
  }
  ObservePace(run, server, aTokens, aNow);
  server.consecutiveFailures_ = 0;
  ForgetEarlierFailure(zoneFailures_, server.record_.zone_, aNow);
  run.lastEvent_ = aNow;
  run.tokens_ = std::max(run.tokens_, aTokens);
  if (run.tokens_ >= run.recordedTokens_ + kGrowthStepTokens) {
    lengths_.ObserveGrowth(run.lengthClass_, run.recordedTokens_, run.tokens_);
    run.recordedTokens_ = run.tokens_;
  }
  const double memory =
    ComputeMemory(run.lengthClass_, run.description_.demand_, run.tokens_);
  server.ownUsage_.memoryTokens_ += memory - run.memory_;
  run.memory_ = memory;
}

void
ServerLoadTracker::ObservePace(Run& aRun,
                               ServerLoad& aServer,
                               std::uint32_t aTokens,
                               Time aNow)
{
  // The time before the first event is that of the prompt or of a move.
  const bool isFirst = !std::exchange(aRun.hasEvent_, true);
  const bool isMeasured = aServer.engine_ && aServer.engine_->pacesPrompts_;
  if (isFirst || !isMeasured || aTokens <= aRun.tokens_) {
    aRun.paceStart_ = aNow;
    aRun.paceStartTokens_ = std::max(aTokens, aRun.tokens_);
    return;
  }
  if (const auto fastest = aServer.FindFastestPace(aNow)) {
    const double gap = ToSeconds(aNow - aRun.lastEvent_);
    stalls_.Observe(gap / (*fastest * (aTokens - aRun.tokens_)), aNow);
  }
  const std::uint32_t tokens = aTokens - aRun.paceStartTokens_;
  if (tokens >= kPaceTokens) {
    aServer.ownPace_.Observe(ToSeconds(aNow - aRun.paceStart_) / tokens, aNow);
    aRun.paceStart_ = aNow;
    aRun.paceStartTokens_ = aTokens;
  }
}

double
ServerLoadTracker::GetMeanPromptTokens(const PoolName& aPool) const
{
  const auto found = promptTokens_.find(aPool);
  return found == promptTokens_.end()
           ? kAssumedPromptTokens
           : found->second.GetMean(kAssumedPromptTokens, 1.0);
}

std::optional<double>
ServerLoadTracker::PredictLongestGap(const ServerLoad& aEngine, Time aNow) const
{
  const auto fastest = aEngine.FindFastestPace(aNow);
  if (!fastest || !aEngine.engine_) {
    return std::nullopt;
  }
  DecayedMean ratio = peerDisturbedRatio_;
  ratio.Add(stalls_.GetDisturbedRatio());
  return *fastest * aEngine.engine_->tokensPerEvent_ * ratio.GetMean(1.0, 1.0);
}

void
ServerLoadTracker::Finish(RunId aRun, RunOutcome aEnd, Time aNow)
{
  const auto found = runs_.find(aRun);
  if (found == runs_.end()) {
    return;
  }
  Run& run = found->second;
  const auto position = servers_.find(run.description_.server_);
  ServerLoad& server = position->second;
  ClearPendingPrompt(run, server);
  --server.ownUsage_.runs_;
  server.ownUsage_.memoryTokens_ =
    std::max(0.0, server.ownUsage_.memoryTokens_ - run.memory_);
  if (server.ownUsage_.runs_ == 0) {
    // Clears rounding errors of the subtractions.
    server.ownUsage_.memoryTokens_ = 0.0;
    server.ownUsage_.pendingPromptTokens_ = 0.0;
  }
  if (aEnd == RunOutcome::Completed) {
    server.consecutiveFailures_ = 0;
    server.ownStatistics_.Get(aNow).failureShare_.Add(0.0);
    if (run.description_.kind_ == CallKind::Generation) {
      lengths_.ObserveGrowth(
        run.lengthClass_, run.recordedTokens_, run.tokens_);
      lengths_.ObserveCompletion(run.lengthClass_, run.tokens_);
    } else {
      server.ownStatistics_.Get(aNow).secondsPerCall_.Add(
        ToSeconds(aNow - run.description_.startedAt_));
    }
  } else if (aEnd != RunOutcome::Withdrawn) {
    ObserveFailure(server, aEnd, aNow);
  }
  const bool hasAnswered =
    aEnd == RunOutcome::Completed || aEnd == RunOutcome::Rejected;
  if (hasAnswered) {
    ForgetEarlierFailure(zoneFailures_, server.record_.zone_, aNow);
  }
  runs_.erase(found);
}

void
ServerLoadTracker::ObserveFailure(ServerLoad& aServer,
                                  RunOutcome aEnd,
                                  Time aNow)
{
  ++aServer.consecutiveFailures_;
  if (aEnd != RunOutcome::Unreachable) {
    aServer.ownStatistics_.Get(aNow).failureShare_.Add(1.0);
  } else {
    const auto doublings =
      std::min(aServer.consecutiveFailures_ - 1, kMaximumDoublings);
    aServer.suspectUntil_ =
      aNow +
      std::min(kInitialSuspectTime * (1U << doublings), kMaximumSuspectTime);
    ObserveUnreachable(aServer.record_, aNow);
  }
}

void
ServerLoadTracker::ObserveUnreachable(const ServerRecord& aRecord, Time aNow)
{
  ZoneFailure& failure = zoneFailures_[aRecord.zone_];
  const bool isSecondServer = failure.server_ != aRecord.id_ &&
                              !failure.server_.GetValue().empty() &&
                              aNow - failure.at_ < kZoneSuspectTime;
  if (isSecondServer) {
    failure.suspectUntil_ = aNow + kZoneSuspectTime;
  }
  failure.server_ = aRecord.id_;
  failure.at_ = aNow;
}

bool
ServerLoadTracker::IsZoneSuspect(const AvailabilityZone& aZone, Time aNow) const
{
  const auto found = zoneFailures_.find(aZone);
  return found != zoneFailures_.end() && aNow < found->second.suspectUntil_;
}

void
ServerLoadTracker::SetPeerUsage(const std::string& aPeer,
                                std::vector<ServerUsage> aUsage,
                                Time aNow,
                                LoadScope aScope,
                                std::uint32_t aDaemonCount)
{
  // Reports of all daemons arrive several times a second, so the totals are
  // updated incrementally instead of being recomputed.
  const auto [entry, isNew] = peers_.try_emplace(aPeer);
  Peer& peer = entry->second;
  peerCount_ += aDaemonCount;
  peerCount_ -= isNew ? 0 : peer.daemonCount_;
  peer.scope_ = aScope;
  peer.daemonCount_ = aDaemonCount;
  SubtractUsage(peer.usage_);
  peer.usage_ = std::move(aUsage);
  peer.receivedAt_ = aNow;
  AddUsage(peer.usage_);
}

void
ServerLoadTracker::SetPeerStatistics(
  const std::string& aPeer,
  std::vector<ReportedStatistics> aStatistics,
  Time aNow)
{
  const auto [entry, isNew] = peers_.try_emplace(aPeer);
  Peer& peer = entry->second;
  peerCount_ += isNew ? peer.daemonCount_ : 0;
  AddStatistics(peer.reportedStatistics_, -1.0);
  peer.reportedStatistics_ = std::move(aStatistics);
  peer.receivedAt_ = aNow;
  AddStatistics(peer.reportedStatistics_, 1.0);
}

void
ServerLoadTracker::SetPeerPaces(const std::string& aPeer,
                                std::vector<ReportedPace> aPaces,
                                const DecayedMean& aDisturbedRatio,
                                Time aNow)
{
  for (const ReportedPace& pace : aPaces) {
    const auto found = servers_.find(pace.server_);
    if (found != servers_.end()) {
      found->second.peerPace_.Observe(pace.secondsPerToken_, aNow);
    }
  }
  const auto peer = peers_.find(aPeer);
  if (peer != peers_.end()) {
    peer->second.paces_ = std::move(aPaces);
    peerDisturbedRatio_.Add(peer->second.disturbedRatio_, -1.0);
    peer->second.disturbedRatio_ = aDisturbedRatio;
    peerDisturbedRatio_.Add(aDisturbedRatio);
  }
}

std::size_t
ServerLoadTracker::ExpirePeers(Time aNow)
{
  const auto dropped = std::erase_if(peers_, [&](const auto& aPeer) {
    const bool isExpired = aNow - aPeer.second.receivedAt_ > kPeerLifetime;
    peerCount_ -= isExpired ? aPeer.second.daemonCount_ : 0;
    return isExpired;
  });
  if (dropped > 0) {
    RecomputePeerTotals();
  }
  return peerCount_;
}

LoadSummary
ServerLoadTracker::SummarizePeers(LoadScope aScope) const
{
  LoadSummary summary;
  for (const auto& [name, peer] : peers_) {
    if (peer.scope_ == aScope) {
      AddToSummary(summary,
                   peer.usage_,
                   peer.reportedStatistics_,
                   peer.paces_,
                   peer.daemonCount_);
      summary.disturbedRatio_.Add(peer.disturbedRatio_);
    }
  }
  return summary;
}

LoadSummary
ServerLoadTracker::SummarizeDaemons(Time aNow)
{
  LoadSummary summary = SummarizePeers(LoadScope::Daemon);
  AddToSummary(
    summary, GetOwnUsage(), GetOwnStatistics(aNow), GetOwnPaces(aNow), 1);
  summary.disturbedRatio_.Add(GetOwnDisturbedRatio());
  return summary;
}

LoadSummary
ServerLoadTracker::SummarizeZones() const
{
  return SummarizePeers(LoadScope::Zone);
}

void
ServerLoadTracker::RecomputePeerTotals()
{
  for (auto& [id, server] : servers_) {
    server.peerUsage_ = ServerUsage{ id, 0, 0.0, 0.0 };
    server.peerStatistics_ = ServerStatistics();
  }
  peerDisturbedRatio_ = DecayedMean();
  for (const auto& [name, peer] : peers_) {
    AddUsage(peer.usage_);
    AddStatistics(peer.reportedStatistics_, 1.0);
    peerDisturbedRatio_.Add(peer.disturbedRatio_);
  }
}

void
ServerLoadTracker::AddUsage(const std::vector<ServerUsage>& aUsage)
{
  for (const ServerUsage& use : aUsage) {
    const auto found = servers_.find(use.server_);
    if (found != servers_.end()) {
      ServerUsage& others = found->second.peerUsage_;
      others.runs_ += use.runs_;
      others.memoryTokens_ += use.memoryTokens_;
      others.pendingPromptTokens_ += use.pendingPromptTokens_;
    }
  }
}

void
ServerLoadTracker::SubtractUsage(const std::vector<ServerUsage>& aUsage)
{
  for (const ServerUsage& use : aUsage) {
    const auto found = servers_.find(use.server_);
    if (found == servers_.end()) {
      continue;
    }
    ServerUsage& others = found->second.peerUsage_;
    others.runs_ -= std::min(others.runs_, use.runs_);
    // A server without runs must not keep a load from rounding errors.
    const bool isUnused = others.runs_ == 0;
    others.memoryTokens_ =
      isUnused ? 0.0 : std::max(0.0, others.memoryTokens_ - use.memoryTokens_);
    others.pendingPromptTokens_ =
      isUnused
        ? 0.0
        : std::max(0.0, others.pendingPromptTokens_ - use.pendingPromptTokens_);
  }
}

void
ServerLoadTracker::AddStatistics(
  const std::vector<ReportedStatistics>& aStatistics,
  double aFactor)
{
  for (const ReportedStatistics& report : aStatistics) {
    const auto found = servers_.find(report.server_);
    if (found != servers_.end()) {
      found->second.peerStatistics_.Add(report.statistics_, aFactor);
    }
  }
}

std::vector<ServerUsage>
ServerLoadTracker::GetOwnUsage() const
{
  std::vector<ServerUsage> uses;
  for (const auto& [id, server] : servers_) {
    if (server.ownUsage_.runs_ > 0) {
      uses.push_back(server.ownUsage_);
    }
  }
  return uses;
}

std::vector<ReportedStatistics>
ServerLoadTracker::GetOwnStatistics(Time aNow)
{
  std::vector<ReportedStatistics> statistics;
  for (auto& [id, server] : servers_) {
    const ServerStatistics& recent = server.ownStatistics_.Get(aNow);
    if (recent.HasSignificantWeight()) {
      statistics.push_back({ id, recent });
    }
  }
  return statistics;
}

std::vector<ReportedPace>
ServerLoadTracker::GetOwnPaces(Time aNow) const
{
  std::vector<ReportedPace> paces;
  for (const auto& [id, server] : servers_) {
    if (const auto pace = server.ownPace_.Find(aNow)) {
      paces.push_back({ id, *pace });
    }
  }
  return paces;
}

bool
ServerLoadTracker::IsDesignatedUser(const std::string& aDaemon,
                                    const BackendServerId& aServer) const
{
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& aPeer) {
    return aPeer.first < aDaemon &&
           std::any_of(aPeer.second.usage_.begin(),
                       aPeer.second.usage_.end(),
                       [&](const ServerUsage& aUse) {
                         return aUse.server_ == aServer && aUse.runs_ > 0;
                       });
  });
}

const ServerLoad*
ServerLoadTracker::Find(const BackendServerId& aServer) const
{
  const auto found = servers_.find(aServer);
  return found == servers_.end() ? nullptr : &found->second;
}

double
ServerLoadTracker::PredictRemainingOutputOfRun(RunId aRun) const
{
  const auto found = runs_.find(aRun);
  if (found == runs_.end()) {
    return 0.0;
  }
  const Run& run = found->second;
  return std::max(
    0.0,
    lengths_.PredictLength(
      run.lengthClass_, run.tokens_, run.description_.demand_.outputLimit_) -
      run.tokens_);
}

const RunDescription*
ServerLoadTracker::FindRun(RunId aRun) const
{
  const auto found = runs_.find(aRun);
  return found == runs_.end() ? nullptr : &found->second.description_;
}

std::vector<RunId>
ServerLoadTracker::FindRunsOn(const BackendServerId& aServer) const
{
  std::vector<RunId> result;
  for (const auto& [number, run] : runs_) {
    if (run.description_.server_ == aServer) {
      result.push_back(number);
    }
  }
  std::sort(result.begin(), result.end());
  return result;
}

std::uint32_t
ServerLoadTracker::FindCachedTokens(const BackendServerId& aServer,
                                    const GenerationDemand& aDemand,
                                    Time aNow) const
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end() || aDemand.prefixHashes_.empty()) {
    return 0;
  }
  std::vector<PrefixIndex::Match> matches;
  prefixes_.FindLongestMatches(aDemand.prefixHashes_, aNow, matches);
  for (const PrefixIndex::Match& match : matches) {
    if (match.server_ == found->second.prefixIndexId_ && match.blocks_ > 0) {
      return aDemand.prefixTokens_[match.blocks_ - 1];
    }
  }
  return 0;
}

} // namespace azurecross

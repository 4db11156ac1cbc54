#include "LoadBoard.h"

#include <algorithm>

namespace azurecross {

namespace {

/** Speed of an engine before anything is known: prefill of 7 tokens a
 * millisecond and 100 output tokens a second. */
constexpr double kAssumedSecondsPerPromptToken = 1.0 / 7000.0;
constexpr double kAssumedSecondsPerToken = 0.01;
/** Time of a plain call before anything is known. */
constexpr double kAssumedSecondsPerCall = 0.06;
/** Observations that these assumptions count as much as. */
constexpr double kAssumedWeight = 1.0;
/** Several events can come in one read, so a few gaps say little. */
constexpr double kAssumedEvents = 10.0;
/** A single failure says little of a server. */
constexpr double kAssumedGoodRuns = 2.0;
/** What a daemon sees itself counts more: servers can fail some callers only.
 */
constexpr double kOwnFactor = 3.0;
/** Part of the output still expected that is charged as memory. Runs of one
 * engine end at different times, so they never all reach their full size. */
constexpr double kRemainingPart = 0.6;
/** A server that could not be reached is left alone for this long, twice as
 * long after each further failure, up to the limit. */
constexpr Duration kSuspectTime = std::chrono::milliseconds(500);
constexpr Duration kLongestSuspectTime = std::chrono::seconds(4);
constexpr std::uint32_t kMostDoublings = 3;
/** Two servers of a zone that can't be reached within this time tell of a cut
 * between the zones; the zone is left alone for as long. */
constexpr Duration kZoneFailureTime = std::chrono::seconds(1);
/** What another daemon said is used this long: five of its reports. */
constexpr Duration kPeerLifetime = std::chrono::milliseconds(1500);
/** Growth is told to the length predictor in steps of this many tokens. */
constexpr std::uint32_t kGrowthStep = 64;

double
GetMean(const ServerLoad& aServer,
        DecayedMean ServerLearning::*aPart,
        double aAssumed,
        double aAssumedWeight)
{
  DecayedMean mean;
  mean.Add(aServer.learning_.GetLast().*aPart, kOwnFactor);
  mean.Add(aServer.othersLearning_.*aPart);
  return mean.GetMean(aAssumed, aAssumedWeight);
}

} // namespace

double
ServerLoad::GetSecondsPerPromptToken() const
{
  return GetMean(*this,
                 &ServerLearning::promptSeconds_,
                 kAssumedSecondsPerPromptToken,
                 kAssumedWeight);
}

double
ServerLoad::GetSecondsPerToken() const
{
  return GetMean(*this,
                 &ServerLearning::tokenSeconds_,
                 kAssumedSecondsPerToken,
                 kAssumedEvents);
}

double
ServerLoad::GetSecondsPerCall() const
{
  return GetMean(*this,
                 &ServerLearning::callSeconds_,
                 kAssumedSecondsPerCall,
                 kAssumedWeight);
}

double
ServerLoad::GetFailureShare() const
{
  return GetMean(*this, &ServerLearning::failures_, 0.0, kAssumedGoodRuns);
}

LoadBoard::LoadBoard() = default;

void
LoadBoard::Update(const ServerRecord& aRecord,
                  const std::optional<EngineTraits>& aEngine,
                  Time aNow)
{
  const auto [position, isNew] = servers_.try_emplace(aRecord.id_);
  ServerLoad& load = position->second;
  if (isNew) {
    load.index_ = nextIndex_++;
    load.own_.server_ = aRecord.id_;
    load.others_.server_ = aRecord.id_;
    load.coldUntil_ = aNow + aRecord.coldLeft_;
  }
  load.record_ = aRecord;
  load.engine_ = aEngine;
  if (isNew) {
    RefreshOthers();
  }
}

void
LoadBoard::Restart(const BackendServerId& aServer, Time aNow)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    return;
  }
  ServerLoad& load = found->second;
  prefixes_.RemoveServer(load.index_, aNow);
  load.index_ = nextIndex_++;
  load.failuresInRow_ = 0;
  load.suspectUntil_ = Time();
  load.learning_.Reset();
}

void
LoadBoard::Remove(const BackendServerId& aServer)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    return;
  }
  found->second.record_.state_ = ServerState::Draining;
  if (found->second.own_.runs_ == 0) {
    servers_.erase(found);
  }
}

double
LoadBoard::ComputeMemory(LengthPredictor::ClassIndex aClass,
                         const GenerationDemand& aDemand,
                         std::uint32_t aTokens) const
{
  const double expected =
    lengths_.PredictLength(aClass, aTokens, aDemand.outputLimit_);
  const double remaining = std::max(0.0, expected - aTokens);
  return aDemand.promptTokens_ + aTokens + kRemainingPart * remaining;
}

double
LoadBoard::PredictMemory(const RouteName& aRoute,
                         const CustomerId& aCustomer,
                         const GenerationDemand& aDemand,
                         std::uint32_t aTokens) const
{
  return ComputeMemory(
    lengths_.FindOrAddClass(aRoute, ModelName(), aCustomer), aDemand, aTokens);
}

double
LoadBoard::PredictOutput(const RouteName& aRoute,
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

RunNumber
LoadBoard::Start(const RunDescription& aRun)
{
  ServerLoad& server = servers_.at(aRun.server_);
  const RunNumber number = nextRun_++;
  Run run;
  run.description_ = aRun;
  run.tokens_ = aRun.tokensBefore_;
  run.growthRecorded_ = aRun.tokensBefore_;
  run.lastEvent_ = aRun.startedAt_;
  ++server.own_.runs_;
  if (aRun.kind_ == CallKind::Generation) {
    run.lengthClass_ =
      lengths_.FindOrAddClass(aRun.route_, ModelName(), aRun.customer_);
    run.memory_ = ComputeMemory(run.lengthClass_, aRun.demand_, run.tokens_);
    server.own_.memoryTokens_ += run.memory_;
    if (aRun.tokensBefore_ == 0) {
      const std::uint32_t cached =
        FindCachedTokens(aRun.server_, aRun.demand_, aRun.startedAt_);
      run.pendingPrompt_ = aRun.demand_.promptTokens_ - cached;
      run.promptAhead_ = server.GetPendingPrompt() + run.pendingPrompt_;
      server.own_.pendingPrompt_ += run.pendingPrompt_;
      prefixes_.AddPrompt(
        server.index_, aRun.demand_.prefixHashes_, aRun.startedAt_);
    }
  }
  runs_.emplace(number, std::move(run));
  return number;
}

void
LoadBoard::ClearPending(Run& aRun, ServerLoad& aServer)
{
  aServer.own_.pendingPrompt_ =
    std::max(0.0, aServer.own_.pendingPrompt_ - aRun.pendingPrompt_);
  aRun.pendingPrompt_ = 0.0;
}

void
LoadBoard::ObserveEvent(RunNumber aRun, std::uint32_t aTokens, Time aNow)
{
  const auto found = runs_.find(aRun);
  if (found == runs_.end()) {
    return;
  }
  Run& run = found->second;
  ServerLoad& server = servers_.at(run.description_.server_);
  const double since = ToSeconds(aNow - run.lastEvent_);
  if (run.pendingPrompt_ > 0.0) {
    server.learning_.Get(aNow).promptSeconds_.Add(
      ToSeconds(aNow - run.description_.startedAt_) / run.promptAhead_);
    ClearPending(run, server);
  } else if (aTokens > run.tokens_ && run.tokens_ > 0) {
    server.learning_.Get(aNow).tokenSeconds_.Add(since /
                                                 (aTokens - run.tokens_));
  }
  server.failuresInRow_ = 0;
  run.lastEvent_ = aNow;
  run.tokens_ = std::max(run.tokens_, aTokens);
  if (run.tokens_ >= run.growthRecorded_ + kGrowthStep) {
    lengths_.ObserveGrowth(run.lengthClass_, run.growthRecorded_, run.tokens_);
    run.growthRecorded_ = run.tokens_;
  }
  const double memory =
    ComputeMemory(run.lengthClass_, run.description_.demand_, run.tokens_);
  server.own_.memoryTokens_ += memory - run.memory_;
  run.memory_ = memory;
}

void
LoadBoard::Finish(RunNumber aRun, RunEnd aEnd, Time aNow)
{
  const auto found = runs_.find(aRun);
  if (found == runs_.end()) {
    return;
  }
  Run& run = found->second;
  const auto position = servers_.find(run.description_.server_);
  ServerLoad& server = position->second;
  ClearPending(run, server);
  --server.own_.runs_;
  server.own_.memoryTokens_ =
    std::max(0.0, server.own_.memoryTokens_ - run.memory_);
  if (server.own_.runs_ == 0) {
    // Removes rounding errors left by the subtractions.
    server.own_.memoryTokens_ = 0.0;
    server.own_.pendingPrompt_ = 0.0;
  }
  if (aEnd == RunEnd::Completed) {
    server.failuresInRow_ = 0;
    server.learning_.Get(aNow).failures_.Add(0.0);
    if (run.description_.kind_ == CallKind::Generation) {
      lengths_.ObserveGrowth(
        run.lengthClass_, run.growthRecorded_, run.tokens_);
      lengths_.ObserveCompletion(run.lengthClass_, run.tokens_);
    } else {
      server.learning_.Get(aNow).callSeconds_.Add(
        ToSeconds(aNow - run.description_.startedAt_));
    }
  } else if (aEnd != RunEnd::Withdrawn) {
    ObserveFailure(server, aEnd, aNow);
  }
  runs_.erase(found);
}

void
LoadBoard::ObserveFailure(ServerLoad& aServer, RunEnd aEnd, Time aNow)
{
  ++aServer.failuresInRow_;
  if (aEnd != RunEnd::Unreachable) {
    aServer.learning_.Get(aNow).failures_.Add(1.0);
  } else {
    const auto doublings = std::min(aServer.failuresInRow_ - 1, kMostDoublings);
    aServer.suspectUntil_ =
      aNow + std::min(kSuspectTime * (1U << doublings), kLongestSuspectTime);
    ObserveUnreachable(aServer.record_, aNow);
  }
}

void
LoadBoard::ObserveUnreachable(const ServerRecord& aRecord, Time aNow)
{
  ZoneFailure& failure = zoneFailures_[aRecord.zone_];
  const bool isOfAnother = failure.server_ != aRecord.id_ &&
                           !failure.server_.GetValue().empty() &&
                           aNow - failure.at_ < kZoneFailureTime;
  if (isOfAnother) {
    failure.suspectUntil_ = aNow + kZoneFailureTime;
  }
  failure.server_ = aRecord.id_;
  failure.at_ = aNow;
}

bool
LoadBoard::IsZoneSuspect(const AvailabilityZone& aZone, Time aNow) const
{
  const auto found = zoneFailures_.find(aZone);
  return found != zoneFailures_.end() && aNow < found->second.suspectUntil_;
}

void
LoadBoard::SetPeerUse(const std::string& aPeer,
                      std::vector<ServerUse> aUses,
                      Time aNow)
{
  // Reports of all daemons come in several times a second, so only the
  // difference that one makes is counted.
  Peer& peer = peers_[aPeer];
  SubtractUses(peer.uses_);
  peer.uses_ = std::move(aUses);
  peer.heardAt_ = aNow;
  AddUses(peer.uses_);
}

void
LoadBoard::SetPeerFindings(const std::string& aPeer,
                           std::vector<ServerFinding> aFindings,
                           Time aNow)
{
  Peer& peer = peers_[aPeer];
  AddFindings(peer.findings_, -1.0);
  peer.findings_ = std::move(aFindings);
  peer.heardAt_ = aNow;
  AddFindings(peer.findings_, 1.0);
}

std::size_t
LoadBoard::ExpirePeers(Time aNow)
{
  const auto dropped = std::erase_if(peers_, [&](const auto& aPeer) {
    return aNow - aPeer.second.heardAt_ > kPeerLifetime;
  });
  if (dropped > 0) {
    RefreshOthers();
  }
  return peers_.size();
}

void
LoadBoard::RefreshOthers()
{
  for (auto& [id, server] : servers_) {
    server.others_ = ServerUse{ id, 0, 0.0, 0.0 };
    server.othersLearning_ = ServerLearning();
  }
  for (const auto& [name, peer] : peers_) {
    AddUses(peer.uses_);
    AddFindings(peer.findings_, 1.0);
  }
}

void
LoadBoard::AddUses(const std::vector<ServerUse>& aUses)
{
  for (const ServerUse& use : aUses) {
    const auto found = servers_.find(use.server_);
    if (found != servers_.end()) {
      ServerUse& others = found->second.others_;
      others.runs_ += use.runs_;
      others.memoryTokens_ += use.memoryTokens_;
      others.pendingPrompt_ += use.pendingPrompt_;
    }
  }
}

void
LoadBoard::SubtractUses(const std::vector<ServerUse>& aUses)
{
  for (const ServerUse& use : aUses) {
    const auto found = servers_.find(use.server_);
    if (found == servers_.end()) {
      continue;
    }
    ServerUse& others = found->second.others_;
    others.runs_ -= std::min(others.runs_, use.runs_);
    // Rounding errors must not leave a load on a server that nobody uses.
    const bool isUnused = others.runs_ == 0;
    others.memoryTokens_ =
      isUnused ? 0.0 : std::max(0.0, others.memoryTokens_ - use.memoryTokens_);
    others.pendingPrompt_ =
      isUnused ? 0.0
               : std::max(0.0, others.pendingPrompt_ - use.pendingPrompt_);
  }
}

void
LoadBoard::AddFindings(const std::vector<ServerFinding>& aFindings,
                       double aFactor)
{
  for (const ServerFinding& finding : aFindings) {
    const auto found = servers_.find(finding.server_);
    if (found != servers_.end()) {
      found->second.othersLearning_.Add(finding.learning_, aFactor);
    }
  }
}

std::vector<ServerUse>
LoadBoard::DescribeOwnUse() const
{
  std::vector<ServerUse> uses;
  for (const auto& [id, server] : servers_) {
    if (server.own_.runs_ > 0) {
      uses.push_back(server.own_);
    }
  }
  return uses;
}

std::vector<ServerFinding>
LoadBoard::DescribeFindings(Time aNow)
{
  std::vector<ServerFinding> findings;
  for (auto& [id, server] : servers_) {
    const ServerLearning& learning = server.learning_.Get(aNow);
    if (learning.IsWorthTelling()) {
      findings.push_back({ id, learning });
    }
  }
  return findings;
}

bool
LoadBoard::IsFirstUser(const std::string& aDaemon,
                       const BackendServerId& aServer) const
{
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& aPeer) {
    return aPeer.first < aDaemon &&
           std::any_of(aPeer.second.uses_.begin(),
                       aPeer.second.uses_.end(),
                       [&](const ServerUse& aUse) {
                         return aUse.server_ == aServer && aUse.runs_ > 0;
                       });
  });
}

const ServerLoad*
LoadBoard::Find(const BackendServerId& aServer) const
{
  const auto found = servers_.find(aServer);
  return found == servers_.end() ? nullptr : &found->second;
}

double
LoadBoard::PredictRemaining(RunNumber aRun) const
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
LoadBoard::FindRun(RunNumber aRun) const
{
  const auto found = runs_.find(aRun);
  return found == runs_.end() ? nullptr : &found->second.description_;
}

std::vector<RunNumber>
LoadBoard::FindRunsOn(const BackendServerId& aServer) const
{
  std::vector<RunNumber> result;
  for (const auto& [number, run] : runs_) {
    if (run.description_.server_ == aServer) {
      result.push_back(number);
    }
  }
  std::sort(result.begin(), result.end());
  return result;
}

std::uint32_t
LoadBoard::FindCachedTokens(const BackendServerId& aServer,
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
    if (match.server_ == found->second.index_ && match.blocks_ > 0) {
      return aDemand.prefixTokens_[match.blocks_ - 1];
    }
  }
  return 0;
}

} // namespace azurecross

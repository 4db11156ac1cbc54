#include "Arbiter.h"

#include <algorithm>

namespace azurecross {
namespace {

/** A progress report that follows sooner says little about the gap. */
constexpr Duration kShortestGapSample = std::chrono::milliseconds(50);
/** Charge for each request, so that calls of plain services, which have no
 * tokens, are shared fairly as well. */
constexpr double kRequestCost = 1.0;

} // namespace

Arbiter::Arbiter(const ArbiterOptions& aOptions)
  : options_(aOptions)
  , random_(aOptions.seed_)
{
  constexpr std::uint64_t kCounterBits = 32;
  nextGrant_ = (random_.DrawBits() << kCounterBits) + 1;
}

void
Arbiter::SetBackendServers(
  const std::vector<BackendServerDescription>& aDescriptions,
  Time aNow,
  ArbiterActions& aActions)
{
  for (Server& server : servers_) {
    server.isListed_ = false;
  }
  for (const BackendServerDescription& description : aDescriptions) {
    const auto index = static_cast<std::uint32_t>(servers_.size());
    const auto [known, isNew] =
      serverIndexes_.try_emplace(description.id_, index);
    if (isNew) {
      servers_.push_back({ BackendServerModel(options_.targetGap_) });
      servers_.back().model_.SetMembers(members_);
    }
    Server& server = servers_[known->second];
    server.isListed_ = true;
    server.model_.Describe(description);
  }
  UpdateLanes();
  DispatchAll(aNow, aActions);
}

void
Arbiter::UpdateLanes()
{
  for (auto& [model, lane] : lanes_) {
    lane->servers_.clear();
  }
  for (std::uint32_t index = 0; index < servers_.size(); ++index) {
    const Server& server = servers_[index];
    if (!server.isListed_ || server.model_.GetDescription().isLeaving_) {
      continue;
    }
    std::vector<ModelName> models = server.model_.GetDescription().models_;
    if (models.empty()) {
      models.emplace_back();
    }
    for (const ModelName& model : models) {
      auto& lane = lanes_[model];
      if (!lane) {
        lane = std::make_unique<Lane>();
        lane->model_ = model;
      }
      lane->servers_.push_back(index);
    }
  }
  UpdateSlots();
}

void
Arbiter::UpdateSlots()
{
  for (auto& [model, lane] : lanes_) {
    lane->slots_ = 0;
    lane->memoryTokens_ = 0.0;
    for (std::uint32_t index : lane->servers_) {
      if (servers_[index].IsUsable()) {
        const BackendServerModel& server = servers_[index].model_;
        lane->slots_ += server.GetLimit(Rank::Urgent);
        lane->memoryTokens_ += server.GetDescription().memoryTokens_;
      }
    }
  }
}

Lane*
Arbiter::FindLane(const ModelName& aModel)
{
  const auto position = lanes_.find(aModel);
  return position == lanes_.end() ? nullptr : position->second.get();
}

void
Arbiter::SetFixedShare(std::uint32_t aMembers)
{
  members_ = std::max(aMembers, 1U);
  for (Server& server : servers_) {
    server.model_.SetMembers(members_);
  }
  UpdateSlots();
}

MemoryForecast
Arbiter::Forecast(const GrantRequest& aRequest,
                  LengthPredictor::ClassIndex aClass,
                  std::uint32_t aTokens) const
{
  MemoryForecast forecast;
  for (std::size_t index = 0; index < MemoryForecast::kHorizonCount; ++index) {
    const std::uint32_t length = aTokens + MemoryForecast::kHorizons[index];
    if (index > 0 && aRequest.outputLimit_ > 0 &&
        length >= aRequest.outputLimit_) {
      break;
    }
    const double survival = lengths_.PredictSurvival(aClass, aTokens, length);
    const double memory = aRequest.promptTokens_ + length;
    forecast.mean_[index] = survival * memory;
    forecast.variance_[index] = survival * (1.0 - survival) * memory * memory;
  }
  return forecast;
}

void
Arbiter::ReportProgress(GrantId aGrant,
                        std::uint32_t aTokens,
                        Time aNow,
                        ArbiterActions& aActions)
{
  const auto position = granted_.find(aGrant);
  if (position == granted_.end() || aTokens <= position->second.tokens_) {
    return;
  }
  Granted& granted = position->second;
  BackendServerModel& model = servers_[granted.placement_.server_].model_;
  const Duration elapsed = aNow - granted.lastProgress_;
  if (granted.tokens_ == 0) {
    model.AddPendingPrompt(-std::int64_t{ granted.request_.promptTokens_ });
    granted.lane_->waits_.ObserveFirstToken(aNow - granted.grantedAt_);
  } else if (elapsed >= kShortestGapSample) {
    model.ObserveGap(elapsed / (aTokens - granted.tokens_));
  }
  lengths_.ObserveGrowth(granted.lengthClass_, granted.tokens_, aTokens);
  granted.tokens_ = aTokens;
  granted.lastProgress_ = aNow;
  const MemoryForecast forecast =
    Forecast(granted.request_, granted.lengthClass_, aTokens);
  model.UpdateForecast(granted.forecast_, forecast);
  MemoryForecast& laneMemory =
    granted.lane_->memory_[static_cast<std::size_t>(granted.request_.rank_)];
  laneMemory.Subtract(granted.forecast_);
  laneMemory.Add(forecast);
  granted.forecast_ = forecast;
  if (aTokens > granted.chargedTokens_) {
    auto& queue =
      granted.lane_->queues_[static_cast<std::size_t>(granted.request_.rank_)];
    queue.Charge(granted.request_.customer_, aTokens - granted.chargedTokens_);
    granted.chargedTokens_ = aTokens;
  }
  Dispatch(*granted.lane_, aNow, aActions);
}

void
Arbiter::AddGrant(GrantId aGrant, Granted aGranted, Time aNow)
{
  const GrantRequest& request = aGranted.request_;
  const auto rank = static_cast<std::size_t>(request.rank_);
  BackendServerModel& model = servers_[aGranted.placement_.server_].model_;
  model.AddRequest(request.rank_, aGranted.forecast_);
  if (aGranted.tokens_ == 0) {
    model.AddPendingPrompt(request.promptTokens_);
  }
  if (!request.model_.GetValue().empty()) {
    aGranted.chargedTokens_ = lengths_.PredictLength(
      aGranted.lengthClass_, aGranted.tokens_, request.outputLimit_);
  }
  aGranted.grantedAt_ = aNow;
  aGranted.lastProgress_ = aNow;
  aGranted.lane_->queues_[rank].Charge(request.customer_,
                                       kRequestCost + aGranted.chargedTokens_ +
                                         request.promptTokens_ *
                                           options_.promptWeight_);
  ++aGranted.lane_->running_[rank];
  aGranted.lane_->memory_[rank].Add(aGranted.forecast_);
  grantIds_[request.request_] = aGrant;
  granted_.emplace(aGrant, std::move(aGranted));
}

void
Arbiter::ReleaseGrant(GrantId aGrant, GrantOutcome aOutcome, Time aNow)
{
  const auto position = granted_.find(aGrant);
  Granted& granted = position->second;
  const GrantRequest& request = granted.request_;
  const auto rank = static_cast<std::size_t>(request.rank_);
  BackendServerModel& model = servers_[granted.placement_.server_].model_;
  model.RemoveRequest(request.rank_, granted.forecast_);
  if (granted.tokens_ == 0) {
    model.AddPendingPrompt(-std::int64_t{ request.promptTokens_ });
  }
  if (aOutcome == GrantOutcome::Completed && granted.tokens_ > 0) {
    lengths_.ObserveEnd(granted.lengthClass_, granted.tokens_);
  }
  granted.lane_->waits_.ObserveHold(request.rank_, aNow - granted.grantedAt_);
  granted.lane_->queues_[rank].Charge(request.customer_,
                                      granted.tokens_ - granted.chargedTokens_);
  granted.lane_->memory_[rank].Subtract(granted.forecast_);
  if (--granted.lane_->running_[rank] == 0) {
    // Removes rounding errors left by the subtractions.
    granted.lane_->memory_[rank] = {};
  }
  grantIds_.erase(request.request_);
  granted_.erase(position);
}

void
Arbiter::Release(GrantId aGrant,
                 GrantOutcome aOutcome,
                 Time aNow,
                 ArbiterActions& aActions)
{
  if (granted_.contains(aGrant)) {
    ReleaseGrant(aGrant, aOutcome, aNow);
    DispatchAll(aNow, aActions);
  }
}

void
Arbiter::Cancel(const RequestId& aRequest, Time aNow, ArbiterActions& aActions)
{
  const auto queued = queuedNumbers_.find(aRequest);
  if (queued != queuedNumbers_.end()) {
    RemoveQueued(queued->second);
    return;
  }
  const auto granted = grantIds_.find(aRequest);
  if (granted != grantIds_.end()) {
    Release(granted->second, GrantOutcome::Cancelled, aNow, aActions);
  }
}

void
Arbiter::ReleaseEntry(const EntryId& aEntry,
                      Time aNow,
                      ArbiterActions& aActions)
{
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, queued] : queued_) {
    if (queued.request_.entry_ == aEntry) {
      numbers.push_back(number);
    }
  }
  std::vector<GrantId> grants;
  for (const auto& [grant, granted] : granted_) {
    if (granted.request_.entry_ == aEntry) {
      grants.push_back(grant);
    }
  }
  std::for_each(numbers.begin(), numbers.end(), [this](std::uint64_t aNumber) {
    RemoveQueued(aNumber);
  });
  // Sorted, so that the order of hash tables has no influence on decisions.
  std::sort(grants.begin(), grants.end());
  for (GrantId grant : grants) {
    ReleaseGrant(grant, GrantOutcome::Cancelled, aNow);
  }
  DispatchAll(aNow, aActions);
}

void
Arbiter::ReportLoad(const BackendServerLoad& aLoad,
                    Time /*aNow*/,
                    ArbiterActions& /*aActions*/)
{
  const auto position = serverIndexes_.find(aLoad.id_);
  if (position != serverIndexes_.end()) {
    BackendServerModel& model = servers_[position->second].model_;
    model.ObserveLoad(aLoad);
    if (options_.placementChoices_ > 0) {
      model.ObserveOthers(aLoad);
    }
  }
}

void
Arbiter::ReportCacheEvent(const CacheEvent& /*aEvent*/, Time /*aNow*/)
{
}

void
Arbiter::ReportInFlight(const std::vector<InFlightGrant>& aGrants, Time aNow)
{
  for (const InFlightGrant& inFlight : aGrants) {
    const GrantRequest& request = inFlight.request_;
    const auto server = serverIndexes_.find(inFlight.backendServer_);
    Lane* lane = FindLane(request.model_);
    if (server == serverIndexes_.end() || lane == nullptr ||
        granted_.contains(inFlight.grant_) ||
        grantIds_.contains(request.request_)) {
      continue;
    }
    const auto queued = queuedNumbers_.find(request.request_);
    if (queued != queuedNumbers_.end()) {
      RemoveQueued(queued->second);
    }
    Granted granted;
    granted.request_ = request;
    granted.lane_ = lane;
    granted.lengthClass_ =
      lengths_.FindClass(request.route_, request.model_, request.customer_);
    granted.placement_.server_ = server->second;
    granted.tokens_ = inFlight.tokens_;
    granted.forecast_ =
      Forecast(request, granted.lengthClass_, inFlight.tokens_);
    AddGrant(inFlight.grant_, std::move(granted), aNow);
  }
}

void
Arbiter::Tick(Time aNow, ArbiterActions& aActions)
{
  if (hasTicked_ && aNow <= lastTick_) {
    return;
  }
  for (auto& [model, lane] : lanes_) {
    if (hasTicked_) {
      lane->waits_.Tick(aNow - lastTick_);
    }
  }
  lastTick_ = aNow;
  hasTicked_ = true;
  UpdateSlots();
  for (auto& [model, lane] : lanes_) {
    const auto urgent = static_cast<std::size_t>(Rank::Urgent);
    lane->urgentSlots_.Observe(lane->running_[urgent], aNow);
    lane->urgentTokens_.Observe(lane->memory_[urgent].ComputePeak(), aNow);
  }
  RefuseLate(aNow, aActions);
  DispatchAll(aNow, aActions);
}

GroupSummary
Arbiter::Summarize() const
{
  GroupSummary summary;
  for (const auto& [model, lane] : lanes_) {
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      summary.queued_[rank] +=
        static_cast<std::uint32_t>(lane->queues_[rank].CountItems());
      summary.running_[rank] += lane->running_[rank];
    }
  }
  for (const Server& server : servers_) {
    if (server.IsUsable()) {
      summary.slots_ += server.model_.GetLimit(Rank::Urgent);
    }
  }
  const double work = summary.queued_[0] + summary.queued_[1] +
                      summary.running_[0] + summary.running_[1];
  summary.saturation_ = work / std::max(summary.slots_, 1U);
  return summary;
}

double
Arbiter::ExportPeak() const
{
  return 0.0;
}

void
Arbiter::LoadPeak(double /*aTokensPerMinute*/)
{
}

} // namespace azurecross

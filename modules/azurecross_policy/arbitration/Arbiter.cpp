#include "Arbiter.h"

#include <algorithm>

namespace azurecross {

Arbiter::Arbiter(const ArbiterOptions& aOptions)
  : options_(aOptions)
  , random_(aOptions.seed_)
  , pacer_(aOptions.minuteOffset_)
{
  constexpr std::uint64_t kCounterBits = 32;
  nextGrantId_ = (random_.DrawBits() << kCounterBits) + 1;
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
      servers_.back().model_.SetCapacityDivisor(capacityDivisor_);
    }
    Server& server = servers_[known->second];
    server.isListed_ = true;
    server.model_.SetDescription(description);
  }
  UpdateModelQueues();
  DispatchAll(aNow, aActions);
}

void
Arbiter::UpdateModelQueues()
{
  for (auto& [model, modelQueues] : queuesByModel_) {
    modelQueues->servers_.clear();
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
      auto& modelQueues = queuesByModel_[model];
      if (!modelQueues) {
        modelQueues = std::make_unique<ModelQueues>(model);
      }
      modelQueues->servers_.push_back(index);
    }
  }
  const auto usable =
    std::count_if(servers_.begin(), servers_.end(), [](const Server& aServer) {
      return aServer.isListed_ && !aServer.model_.GetDescription().isLeaving_;
    });
  health_.SetServerCounts(servers_.size(), static_cast<std::size_t>(usable));
  UpdateAllSlots();
}

void
Arbiter::UpdateServerSlots(std::uint32_t aServer)
{
  const Server& server = servers_[aServer];
  const BackendServerModel& model = server.model_;
  ServerSlots& slots = slots_[aServer];
  slots.running_ = model.GetRunning();
  const std::uint32_t allowance =
    server.IsUsable() ? health_.GetReadmissionLimit(aServer) : 0;
  slots.limits_ = { std::min(model.GetLimit(Rank::Urgent), allowance),
                    std::min(model.GetLimit(Rank::Lesser), allowance) };
}

void
Arbiter::UpdateAllSlots()
{
  slots_.resize(servers_.size());
  for (std::uint32_t index = 0; index < servers_.size(); ++index) {
    UpdateServerSlots(index);
  }
  for (auto& [model, modelQueues] : queuesByModel_) {
    modelQueues->slots_ = 0;
    modelQueues->memoryTokens_ = 0.0;
    for (std::uint32_t index : modelQueues->servers_) {
      if (servers_[index].IsUsable()) {
        const BackendServerModel& server = servers_[index].model_;
        modelQueues->slots_ += server.GetLimit(Rank::Urgent);
        modelQueues->memoryTokens_ += server.GetDescription().memoryTokens_;
      }
    }
  }
}

ModelQueues*
Arbiter::FindModelQueues(const ModelName& aModel)
{
  const auto position = queuesByModel_.find(aModel);
  return position == queuesByModel_.end() ? nullptr : position->second.get();
}

void
Arbiter::SetCapacityDivisor(std::uint32_t aDivisor)
{
  capacityDivisor_ = std::max(aDivisor, 1U);
  for (Server& server : servers_) {
    server.model_.SetCapacityDivisor(capacityDivisor_);
  }
  UpdateAllSlots();
}

MemoryForecast
Arbiter::ForecastMemory(const GrantRequest& aRequest,
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
    const double survival =
      lengthPredictor_.PredictSurvival(aClass, aTokens, length);
    const double memory = aRequest.promptTokens_ + length;
    forecast.mean_[index] = survival * memory;
    forecast.variance_[index] = survival * (1.0 - survival) * memory * memory;
  }
  return forecast;
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
      model.ObserveExternalLoad(aLoad);
    }
    UpdateServerSlots(position->second);
  }
}

void
Arbiter::ReportCacheEvent(const CacheEvent& aEvent, Time aNow)
{
  const auto position = serverIndexes_.find(aEvent.id_);
  if (position != serverIndexes_.end()) {
    prefixIndex_.ApplyCacheEvent(position->second,
                                 aEvent.sequence_,
                                 aEvent.stored_,
                                 aEvent.removed_,
                                 aNow);
  }
}

void
Arbiter::ReportInFlight(const std::vector<InFlightGrant>& aGrants, Time aNow)
{
  for (const InFlightGrant& inFlight : aGrants) {
    const GrantRequest& request = inFlight.request_;
    const auto server = serverIndexes_.find(inFlight.backendServer_);
    ModelQueues* modelQueues = FindModelQueues(request.model_);
    if (server == serverIndexes_.end() || modelQueues == nullptr ||
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
    granted.modelQueues_ = modelQueues;
    granted.lengthClass_ = lengthPredictor_.FindOrAddClass(
      request.route_, request.model_, request.customer_);
    granted.placement_.server_ = server->second;
    granted.tokens_ = inFlight.tokens_;
    granted.forecast_ =
      ForecastMemory(request, granted.lengthClass_, inFlight.tokens_);
    AddGrant(inFlight.grant_, std::move(granted), aNow);
  }
}

void
Arbiter::Tick(Time aNow, ArbiterActions& aActions)
{
  if (hasTicked_ && aNow <= lastTick_) {
    return;
  }
  for (auto& [model, modelQueues] : queuesByModel_) {
    if (hasTicked_) {
      modelQueues->waitEstimator_.Tick(aNow - lastTick_);
    }
  }
  lastTick_ = aNow;
  hasTicked_ = true;
  UpdateHealth(aNow, aActions);
  UpdateAllSlots();
  for (auto& [model, modelQueues] : queuesByModel_) {
    const auto urgent = static_cast<std::size_t>(Rank::Urgent);
    modelQueues->urgentSlotPeak_.Observe(modelQueues->running_[urgent], aNow);
    modelQueues->urgentMemoryPeak_.Observe(
      modelQueues->memory_[urgent].ComputePeak(), aNow);
  }
  UpdatePacing(aNow);
  RefuseUnreachableDeadlines(aNow, aActions);
  DispatchAll(aNow, aActions);
}

std::uint32_t
Arbiter::CountLesserRunning() const
{
  std::uint32_t running = 0;
  for (const auto& [model, modelQueues] : queuesByModel_) {
    running += modelQueues->running_[static_cast<std::size_t>(Rank::Lesser)];
  }
  return running;
}

void
Arbiter::UpdatePacing(Time aNow)
{
  const std::uint32_t running = CountLesserRunning();
  pacer_.Tick(running, aNow);
  if (!options_.isPaced_) {
    return;
  }
  double memory = 0.0;
  for (const auto& [model, modelQueues] : queuesByModel_) {
    memory +=
      modelQueues->memory_[static_cast<std::size_t>(Rank::Lesser)].mean_[0];
  }
  const double meanMemory = memory / std::max(running, 1U);
  double rate = 0.0;
  for (const Server& server : servers_) {
    rate += server.IsUsable() ? server.model_.ComputeTokenRate(meanMemory) : 0;
  }
  const double floorRate = options_.lesserFloor_ * rate;
  pacedSlots_ = pacer_.ComputeLesserSlots(floorRate, aNow);
  floorSlots_ = pacer_.ComputeFloorSlots(floorRate);
}

void
Arbiter::UpdateHealth(Time aNow, ArbiterActions& aActions)
{
  for (std::uint32_t index = 0; index < servers_.size(); ++index) {
    health_.SetRunning(
      index, servers_[index].model_.GetRunning(), servers_[index].decoding_);
  }
  std::vector<HealthTracker::Change> changes;
  health_.Tick(aNow, changes);
  for (const HealthTracker::Change& change : changes) {
    Server& server = servers_[change.server_];
    server.isEjected_ = change.isEjected_;
    if (change.isEjected_) {
      // The backend server may return as a new process with an empty cache.
      prefixIndex_.RemoveServer(change.server_, aNow);
    }
    const BackendServerId& id = server.model_.GetDescription().id_;
    if (change.isEjected_) {
      aActions.emplace_back(EjectAction{ id });
    } else {
      aActions.emplace_back(ReadmitAction{ id });
    }
  }
}

GroupSummary
Arbiter::Summarize() const
{
  GroupSummary summary;
  for (const auto& [model, modelQueues] : queuesByModel_) {
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      summary.queued_[rank] +=
        static_cast<std::uint32_t>(modelQueues->queues_[rank].CountItems());
      summary.running_[rank] += modelQueues->running_[rank];
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
Arbiter::GetBusiestMinuteTokens() const
{
  return pacer_.GetPeak();
}

void
Arbiter::StartMonth()
{
  pacer_.StartBillingMonth();
}

void
Arbiter::RestoreBusiestMinuteTokens(double aTokensPerMinute)
{
  pacer_.LoadPeak(aTokensPerMinute);
}

} // namespace azurecross

#include "Arbiter.h"

#include <algorithm>

namespace azurecross {

Arbiter::Arbiter(const ArbiterOptions& aOptions)
  : options_(aOptions)
  , random_(aOptions.seed_)
  , pacer_(aOptions.minuteOffset_)
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
        lane = std::make_unique<Lane>(model);
      }
      lane->servers_.push_back(index);
    }
  }
  const auto usable =
    std::count_if(servers_.begin(), servers_.end(), [](const Server& aServer) {
      return aServer.isListed_ && !aServer.model_.GetDescription().isLeaving_;
    });
  health_.SetServerCounts(servers_.size(), static_cast<std::size_t>(usable));
  UpdateSlots();
}

void
Arbiter::RefreshSlots(std::uint32_t aServer)
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
Arbiter::UpdateSlots()
{
  slots_.resize(servers_.size());
  for (std::uint32_t index = 0; index < servers_.size(); ++index) {
    RefreshSlots(index);
  }
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
    RefreshSlots(position->second);
  }
}

void
Arbiter::ReportCacheEvent(const CacheEvent& aEvent, Time aNow)
{
  const auto position = serverIndexes_.find(aEvent.id_);
  if (position != serverIndexes_.end()) {
    prefixes_.ApplyCacheEvent(position->second,
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
  UpdateHealth(aNow, aActions);
  UpdateSlots();
  for (auto& [model, lane] : lanes_) {
    const auto urgent = static_cast<std::size_t>(Rank::Urgent);
    lane->urgentSlots_.Observe(lane->running_[urgent], aNow);
    lane->urgentTokens_.Observe(lane->memory_[urgent].ComputePeak(), aNow);
  }
  UpdatePacing(aNow);
  RefuseLate(aNow, aActions);
  DispatchAll(aNow, aActions);
}

std::uint32_t
Arbiter::CountLesserRunning() const
{
  std::uint32_t running = 0;
  for (const auto& [model, lane] : lanes_) {
    running += lane->running_[static_cast<std::size_t>(Rank::Lesser)];
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
  for (const auto& [model, lane] : lanes_) {
    memory += lane->memory_[static_cast<std::size_t>(Rank::Lesser)].mean_[0];
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
      // It may come back as a new process with an empty cache.
      prefixes_.RemoveServer(change.server_, aNow);
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
  return pacer_.GetPeak();
}

void
Arbiter::StartMonth()
{
  pacer_.StartBillingMonth();
}

void
Arbiter::LoadPeak(double aTokensPerMinute)
{
  pacer_.LoadPeak(aTokensPerMinute);
}

} // namespace azurecross

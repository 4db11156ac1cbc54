#include "Arbiter.h"

#include <algorithm>

namespace azurecross {
namespace {

/** Minimum time between two progress reports for a usable gap sample. */
constexpr Duration kMinGapSample = std::chrono::milliseconds(50);
/** Charge per request, which makes the fair queue work for plain services,
 * whose calls have no tokens. */
constexpr double kRequestCharge = 1.0;

} // namespace

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
  const std::uint32_t index = granted.placement_.server_;
  BackendServerModel& model = servers_[index].model_;
  const Duration elapsed = aNow - granted.lastProgress_;
  if (granted.tokens_ == 0) {
    model.AddPendingPromptTokens(
      -std::int64_t{ granted.request_.promptTokens_ });
    granted.modelQueues_->waitEstimator_.ObserveFirstToken(aNow -
                                                           granted.grantedAt_);
    ++servers_[index].decoding_;
  } else if (elapsed >= kMinGapSample) {
    const Duration gap = elapsed / (aTokens - granted.tokens_);
    model.ObserveGap(gap);
    health_.ObserveTokenGap(index, gap, model.GetRunning(), aNow);
  }
  RecordTokens(granted, aTokens, aNow);
  const MemoryForecast forecast =
    ForecastMemory(granted.request_, granted.lengthClass_, aTokens);
  model.UpdateForecast(granted.forecast_, forecast);
  MemoryForecast& rankMemory =
    granted.modelQueues_
      ->memory_[static_cast<std::size_t>(granted.request_.rank_)];
  rankMemory.Subtract(granted.forecast_);
  rankMemory.Add(forecast);
  granted.forecast_ = forecast;
  UpdateServerSlots(index);
  if (aTokens > granted.chargedTokens_) {
    auto& queue = granted.modelQueues_
                    ->queues_[static_cast<std::size_t>(granted.request_.rank_)];
    queue.Charge(granted.request_.customer_, aTokens - granted.chargedTokens_);
    granted.chargedTokens_ = aTokens;
  }
  Dispatch(*granted.modelQueues_, aNow, aActions);
}

void
Arbiter::RecordTokens(Granted& aGranted, std::uint32_t aTokens, Time aNow)
{
  health_.ObserveProgress(aGranted.placement_.server_, aNow);
  pacer_.RecordUsage(aGranted.request_.rank_, aTokens - aGranted.tokens_);
  lengthPredictor_.ObserveGrowth(
    aGranted.lengthClass_, aGranted.tokens_, aTokens);
  aGranted.tokens_ = aTokens;
  aGranted.lastProgress_ = aNow;
}

void
Arbiter::ReportTotalTokens(GrantId aGrant, std::uint32_t aTokens, Time aNow)
{
  const auto position = granted_.find(aGrant);
  if (position == granted_.end() || aTokens <= position->second.tokens_) {
    return;
  }
  Granted& granted = position->second;
  const std::uint32_t index = granted.placement_.server_;
  if (granted.tokens_ == 0) {
    servers_[index].model_.AddPendingPromptTokens(
      -std::int64_t{ granted.request_.promptTokens_ });
    ++servers_[index].decoding_;
  }
  RecordTokens(granted, aTokens, aNow);
}

void
Arbiter::AddGrant(GrantId aGrant, Granted aGranted, Time aNow)
{
  const GrantRequest& request = aGranted.request_;
  const auto rank = static_cast<std::size_t>(request.rank_);
  BackendServerModel& model = servers_[aGranted.placement_.server_].model_;
  model.AddRequest(request.rank_, aGranted.forecast_);
  UpdateServerSlots(aGranted.placement_.server_);
  if (model.GetRunning() == 1) {
    health_.ObserveFirstRequest(aGranted.placement_.server_, aNow);
  }
  if (aGranted.tokens_ == 0) {
    model.AddPendingPromptTokens(request.promptTokens_);
  } else {
    ++servers_[aGranted.placement_.server_].decoding_;
  }
  if (!request.model_.GetValue().empty()) {
    aGranted.chargedTokens_ = lengthPredictor_.PredictLength(
      aGranted.lengthClass_, aGranted.tokens_, request.outputLimit_);
  }
  if (aGranted.tokens_ == 0) {
    pacer_.RecordUsage(request.rank_,
                       request.promptTokens_ * options_.promptWeight_);
  }
  aGranted.grantedAt_ = aNow;
  aGranted.lastProgress_ = aNow;
  aGranted.modelQueues_->queues_[rank].Charge(
    request.customer_,
    kRequestCharge + aGranted.chargedTokens_ +
      request.promptTokens_ * options_.promptWeight_);
  ++aGranted.modelQueues_->running_[rank];
  aGranted.modelQueues_->memory_[rank].Add(aGranted.forecast_);
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
  UpdateServerSlots(granted.placement_.server_);
  if (granted.tokens_ == 0) {
    model.AddPendingPromptTokens(-std::int64_t{ request.promptTokens_ });
  } else {
    --servers_[granted.placement_.server_].decoding_;
  }
  if (aOutcome == GrantOutcome::Unreachable) {
    health_.ObserveUnreachable(granted.placement_.server_, aNow);
  }
  if (aOutcome == GrantOutcome::Completed && granted.tokens_ > 0) {
    lengthPredictor_.ObserveCompletion(granted.lengthClass_, granted.tokens_);
  }
  granted.modelQueues_->waitEstimator_.ObserveSlotDuration(
    request.rank_, aNow - granted.grantedAt_);
  granted.modelQueues_->queues_[rank].Charge(
    request.customer_, granted.tokens_ - granted.chargedTokens_);
  granted.modelQueues_->memory_[rank].Subtract(granted.forecast_);
  if (--granted.modelQueues_->running_[rank] == 0) {
    // Resets rounding errors of the subtractions.
    granted.modelQueues_->memory_[rank] = {};
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
  // Sorted, so that decisions don't depend on the iteration order of the hash
  // table.
  std::sort(grants.begin(), grants.end());
  for (GrantId grant : grants) {
    ReleaseGrant(grant, GrantOutcome::Cancelled, aNow);
  }
  DispatchAll(aNow, aActions);
}

} // namespace azurecross

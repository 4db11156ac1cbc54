#include "Arbiter.h"

#include <algorithm>

namespace azurecross {
namespace {

/** Number of prompt tokens pending prefill that adds as much to the placement
 * score as a full engine. */
constexpr double kFullEnginePromptTokens = 8192.0;
/** Fraction of the time to the deadline that a predicted wait may take, because
 * predicted waits are off by about a third under overload. */
constexpr double kUsableWaitFraction = 0.7;
/** Fraction of slots and memory shared by lesser work and the recent peak of
 * urgent work; the rest is kept free for an urgent burst above that peak. */
constexpr double kSharedFraction = 0.9;
/** Score penalty that ranks a suspect backend server after all others. */
constexpr double kSuspectPenalty = 10.0;
/** While customers with short queues are served, requests of customers with
 * long queues go only to engines with at most half a step of prefill pending,
 * because a prompt queued behind a full prefill step gets its first token one
 * step later. */
constexpr std::int64_t kMaxYieldingPromptTokens = 256;
/** Duration of that limit after a grant to a customer with a short queue. */
constexpr Duration kPrefillYieldTime = std::chrono::seconds(1);
/** Bounds of the base retry delay of a refused request, before jitter. */
constexpr double kMinRetryAfterSeconds = 1.0;
constexpr double kMaxRetryAfterSeconds = 60.0;

bool
IsExcluded(const GrantRequest& aRequest, const BackendServerId& aServer)
{
  return std::find(aRequest.excluded_.begin(),
                   aRequest.excluded_.end(),
                   aServer) != aRequest.excluded_.end();
}

} // namespace

bool
Arbiter::HandleRepeat(const GrantRequest& aRequest,
                      Time aNow,
                      ArbiterActions& aActions)
{
  if (queuedNumbers_.contains(aRequest.request_)) {
    return true;
  }
  const auto known = grantIds_.find(aRequest.request_);
  if (known == grantIds_.end()) {
    return false;
  }
  const GrantId grant = known->second;
  const Granted& granted = granted_.at(grant);
  const BackendServerId& server =
    servers_[granted.placement_.server_].model_.GetDescription().id_;
  if (IsExcluded(aRequest, server)) {
    ReleaseGrant(grant, GrantOutcome::Failed, aNow);
    return false;
  }
  aActions.emplace_back(
    GrantAction{ aRequest.request_, aRequest.entry_, grant, server });
  return true;
}

void
Arbiter::Enqueue(const GrantRequest& aRequest,
                 Time aNow,
                 ArbiterActions& aActions)
{
  if (HandleRepeat(aRequest, aNow, aActions)) {
    return;
  }
  ModelQueues* modelQueues = FindModelQueues(aRequest.model_);
  const bool hasServer =
    modelQueues != nullptr &&
    std::any_of(modelQueues->servers_.begin(),
                modelQueues->servers_.end(),
                [&](std::uint32_t aIndex) {
                  return aRequest.excluded_.empty() ||
                         !IsExcluded(
                           aRequest,
                           servers_[aIndex].model_.GetDescription().id_);
                });
  if (!hasServer) {
    Refuse(aRequest, ErrorCode::NoBackendServer, 0.0, aActions);
    return;
  }
  modelQueues->waitEstimator_.ObserveArrival(aRequest.rank_);
  const double wait = ComputeWait(*modelQueues, aRequest);
  const Duration usable = aRequest.deadline_ - aNow -
                          modelQueues->waitEstimator_.GetFirstTokenMargin();
  if (aRequest.deadline_ != Time::max() &&
      wait > std::max(0.0, kUsableWaitFraction * ToSeconds(usable))) {
    Refuse(aRequest, ErrorCode::DeadlineUnreachable, wait, aActions);
    return;
  }
  if (!EnsureQueueSpace(*modelQueues, aRequest, aActions)) {
    Refuse(aRequest, ErrorCode::QueueFull, wait, aActions);
    return;
  }
  const std::uint64_t number = nextQueueNumber_++;
  const double uncorrected =
    wait / modelQueues->waitEstimator_.GetCorrection(aRequest.rank_);
  Queued queued{ aRequest, modelQueues, 0, aNow, uncorrected };
  queued.lengthClass_ = lengthPredictor_.FindOrAddClass(
    aRequest.route_, aRequest.model_, aRequest.customer_);
  queued_.emplace(number, std::move(queued));
  queuedNumbers_.emplace(aRequest.request_, number);
  deadlines_.emplace(aRequest.deadline_, number);
  modelQueues->queues_[static_cast<std::size_t>(aRequest.rank_)].Push(
    aRequest.customer_, number);
  Dispatch(*modelQueues, aNow, aActions);
}

double
Arbiter::ComputeWait(const ModelQueues& aModelQueues,
                     const GrantRequest& aRequest) const
{
  const auto rank = static_cast<std::size_t>(aRequest.rank_);
  const FairQueue& queue = aModelQueues.queues_[rank];
  const std::size_t items = queue.CountItems();
  const double rate =
    aModelQueues.waitEstimator_.PredictSlotRate(aRequest.rank_,
                                                aModelQueues.running_,
                                                aModelQueues.slots_,
                                                options_.lesserFloor_);
  if (items == 0 || rate <= 0.0) {
    return 0.0;
  }
  // The fair queue serves customers about equally, so a customer with few items
  // doesn't wait for the whole queue of a customer with many items.
  const std::size_t ownItems = queue.CountItemsOf(aRequest.customer_);
  const std::size_t customers =
    queue.CountBackloggedCustomers() + (ownItems == 0 ? 1 : 0);
  const std::size_t itemsAhead = std::min(items, (ownItems + 1) * customers);
  return aModelQueues.waitEstimator_.GetCorrection(aRequest.rank_) *
         static_cast<double>(itemsAhead) / rate;
}

bool
Arbiter::EnsureQueueSpace(ModelQueues& aModelQueues,
                          const GrantRequest& aRequest,
                          ArbiterActions& aActions)
{
  FairQueue& queue =
    aModelQueues.queues_[static_cast<std::size_t>(aRequest.rank_)];
  if (queue.CountItems() < options_.queueLimit_) {
    return true;
  }
  const auto number = queue.FindNewestOfLongestQueue();
  if (!number) {
    return false;
  }
  const GrantRequest last = queued_.at(*number).request_;
  if (queue.CountItemsOf(last.customer_) <=
      queue.CountItemsOf(aRequest.customer_) + 1) {
    return false;
  }
  const double wait = ComputeWait(aModelQueues, last);
  RemoveQueued(*number);
  Refuse(last, ErrorCode::QueueFull, wait, aActions);
  return true;
}

void
Arbiter::Refuse(const GrantRequest& aRequest,
                ErrorCode aReason,
                double aWaitSeconds,
                ArbiterActions& aActions)
{
  const Duration base = FromSeconds(
    std::clamp(aWaitSeconds, kMinRetryAfterSeconds, kMaxRetryAfterSeconds));
  // Jitter spreads the retries of refused callers over time.
  const Duration retryAfter = base + base / 2 - random_.Jitter(base / 2, 1.0);
  aActions.emplace_back(
    RefuseAction{ aRequest.request_, aRequest.entry_, aReason, retryAfter });
}

void
Arbiter::RemoveQueued(std::uint64_t aNumber)
{
  const auto position = queued_.find(aNumber);
  const GrantRequest& request = position->second.request_;
  position->second.modelQueues_
    ->queues_[static_cast<std::size_t>(request.rank_)]
    .Remove(request.customer_, aNumber);
  deadlines_.erase({ request.deadline_, aNumber });
  queuedNumbers_.erase(request.request_);
  queued_.erase(position);
}

void
Arbiter::RefuseUnreachableDeadlines(Time aNow, ArbiterActions& aActions)
{
  // Refuses a request that can't get its first token in time before it is sent
  // anywhere, so that the not_run verdict is correct.
  Duration margin{};
  for (const auto& [model, modelQueues] : queuesByModel_) {
    margin =
      std::max(margin, modelQueues->waitEstimator_.GetFirstTokenMargin());
  }
  while (!deadlines_.empty() && deadlines_.begin()->first - aNow <= margin) {
    const std::uint64_t number = deadlines_.begin()->second;
    const Queued queued = queued_.at(number);
    queued.modelQueues_->waitEstimator_.ObserveWait(
      queued.request_.rank_,
      queued.predictedWait_,
      ToSeconds(aNow - queued.queuedAt_));
    const double wait = ComputeWait(*queued.modelQueues_, queued.request_);
    RemoveQueued(number);
    Refuse(queued.request_, ErrorCode::DeadlineUnreachable, wait, aActions);
  }
}

bool
Arbiter::IsLesserBelowFloor(const ModelQueues& aModelQueues) const
{
  const double floor =
    std::min(options_.lesserFloor_ * aModelQueues.slots_, floorSlots_);
  return aModelQueues.queues_[static_cast<std::size_t>(Rank::Lesser)]
             .CountItems() > 0 &&
         aModelQueues.running_[static_cast<std::size_t>(Rank::Lesser)] < floor;
}

bool
Arbiter::CanGrantLesser(const ModelQueues& aModelQueues) const
{
  const auto lesser = static_cast<std::size_t>(Rank::Lesser);
  const double slots = kSharedFraction * aModelQueues.slots_ -
                       aModelQueues.urgentSlotPeak_.GetUndecayed();
  if (aModelQueues.running_[lesser] >= slots ||
      CountLesserRunning() >= pacedSlots_) {
    return false;
  }
  const double memory = kSharedFraction * aModelQueues.memoryTokens_ -
                        aModelQueues.urgentMemoryPeak_.GetUndecayed();
  return aModelQueues.memoryTokens_ == 0.0 ||
         aModelQueues.memory_[lesser].ComputePeak() < memory;
}

Rank
Arbiter::ChooseUrgentLimitRank(const ModelQueues& aModelQueues) const
{
  const auto urgent = static_cast<std::size_t>(Rank::Urgent);
  const auto number = aModelQueues.queues_[urgent].PeekNext();
  if (!number) {
    return Rank::Urgent;
  }
  const CustomerId& customer = queued_.at(*number).request_.customer_;
  return aModelQueues.queues_[urgent].CountItemsOf(customer) >
             FairQueue::kMaxLightItems
           ? Rank::Lesser
           : Rank::Urgent;
}

void
Arbiter::DispatchAll(Time aNow, ArbiterActions& aActions)
{
  for (auto& [model, modelQueues] : queuesByModel_) {
    Dispatch(*modelQueues, aNow, aActions);
  }
}

void
Arbiter::Dispatch(ModelQueues& aModelQueues,
                  Time aNow,
                  ArbiterActions& aActions)
{
  while (IsLesserBelowFloor(aModelQueues) &&
         GrantNext(aModelQueues, Rank::Lesser, Rank::Urgent, aNow, aActions)) {
  }
  while (GrantNext(aModelQueues,
                   Rank::Urgent,
                   ChooseUrgentLimitRank(aModelQueues),
                   aNow,
                   aActions)) {
  }
  if (aModelQueues.queues_[static_cast<std::size_t>(Rank::Urgent)]
        .CountItems() > 0) {
    return;
  }
  while (CanGrantLesser(aModelQueues) &&
         GrantNext(aModelQueues, Rank::Lesser, Rank::Lesser, aNow, aActions)) {
  }
}

bool
Arbiter::GrantNext(ModelQueues& aModelQueues,
                   Rank aRank,
                   Rank aLimitRank,
                   Time aNow,
                   ArbiterActions& aActions)
{
  FairQueue& queue = aModelQueues.queues_[static_cast<std::size_t>(aRank)];
  const auto number = queue.PeekNext();
  return number && TryGrant(*number, aLimitRank, aNow, aActions);
}

bool
Arbiter::HasFreeSlot(const ModelQueues& aModelQueues, Rank aLimitRank) const
{
  return std::any_of(aModelQueues.servers_.begin(),
                     aModelQueues.servers_.end(),
                     [&](std::uint32_t aIndex) {
                       return slots_[aIndex].HasFreeSlot(aLimitRank);
                     });
}

bool
Arbiter::TryGrant(std::uint64_t aNumber,
                  Rank aLimitRank,
                  Time aNow,
                  ArbiterActions& aActions)
{
  const Queued& queued = queued_.at(aNumber);
  const GrantRequest& request = queued.request_;
  if (!HasFreeSlot(*queued.modelQueues_, aLimitRank)) {
    return false;
  }
  const MemoryForecast forecast =
    ForecastMemory(request, queued.lengthClass_, 0);
  prefixMatches_.clear();
  prefixIndex_.FindLongestMatches(request.prefixHashes_, aNow, prefixMatches_);
  const bool hasLongQueue =
    request.rank_ == Rank::Urgent && aLimitRank == Rank::Lesser;
  PlacementBounds bounds{ aLimitRank };
  if (hasLongQueue && aNow < queued.modelQueues_->prefillYieldUntil_) {
    bounds.pendingPromptTokens_ = kMaxYieldingPromptTokens;
  }
  const auto placement =
    ChooseServer(*queued.modelQueues_, request, forecast, bounds);
  if (!placement) {
    return false;
  }
  Granted granted;
  granted.request_ = request;
  granted.modelQueues_ = queued.modelQueues_;
  granted.lengthClass_ = queued.lengthClass_;
  granted.placement_ = *placement;
  granted.forecast_ = forecast;
  granted.waited_ = aNow - queued.queuedAt_;
  queued.modelQueues_->waitEstimator_.ObserveWait(
    queued.request_.rank_, queued.predictedWait_, ToSeconds(granted.waited_));
  granted.isFloorGrant_ = request.rank_ != aLimitRank;
  const GrantId grant(nextGrantId_++);
  aActions.emplace_back(
    GrantAction{ request.request_,
                 request.entry_,
                 grant,
                 servers_[placement->server_].model_.GetDescription().id_ });
  if (request.rank_ == Rank::Urgent && !hasLongQueue) {
    granted.modelQueues_->prefillYieldUntil_ = aNow + kPrefillYieldTime;
  }
  granted.modelQueues_->queues_[static_cast<std::size_t>(request.rank_)]
    .PopNext();
  RemoveQueued(aNumber);
  prefixIndex_.AddPrompt(
    placement->server_, granted.request_.prefixHashes_, aNow);
  AddGrant(grant, std::move(granted), aNow);
  return true;
}

std::uint32_t
Arbiter::CountCachedBlocks(std::uint32_t aServer) const
{
  for (const PrefixIndex::Match& match : prefixMatches_) {
    if (match.server_ == aServer) {
      return match.blocks_;
    }
  }
  return 0;
}

std::optional<Placement>
Arbiter::ChooseServer(const ModelQueues& aModelQueues,
                      const GrantRequest& aRequest,
                      const MemoryForecast& aForecast,
                      const PlacementBounds& aBounds)
{
  std::optional<Placement> best;
  const double savedPerBlock =
    aRequest.prefixHashes_.empty()
      ? 0.0
      : aRequest.promptTokens_ /
          static_cast<double>(aRequest.prefixHashes_.size()) /
          kFullEnginePromptTokens;
  const std::size_t choices = options_.placementChoices_;
  const std::size_t count =
    choices == 0 ? aModelQueues.servers_.size() : choices;
  for (std::size_t step = 0; step < count; ++step) {
    const std::uint32_t index =
      aModelQueues.servers_[choices == 0 ? step
                                         : random_.DrawBelow(
                                             aModelQueues.servers_.size())];
    if (!slots_[index].HasFreeSlot(aBounds.limitRank_)) {
      continue;
    }
    const BackendServerModel& model = servers_[index].model_;
    if (model.GetPendingPromptTokens() > aBounds.pendingPromptTokens_) {
      continue;
    }
    // A cached prefix lowers the score by the prefill that it saves, so a
    // backend server whose extra load exceeds that saving is not preferred.
    const std::uint32_t blocks =
      prefixMatches_.empty() ? 0 : CountCachedBlocks(index);
    const double score =
      std::max(model.PredictGapShare(), model.ComputeMemoryShare()) +
      static_cast<double>(model.GetPendingPromptTokens()) /
        kFullEnginePromptTokens -
      savedPerBlock * blocks +
      (health_.IsSuspect(index) ? kSuspectPenalty : 0.0);
    if ((best && score >= best->score_) ||
        !model.HasMemoryFor(aForecast, aBounds.limitRank_) ||
        (!aRequest.excluded_.empty() &&
         IsExcluded(aRequest, model.GetDescription().id_))) {
      continue;
    }
    best = Placement{
      index,
      score,
      slots_[index].running_,
      slots_[index].limits_[static_cast<std::size_t>(aBounds.limitRank_)],
      model.ComputeMemoryShare(),
      blocks
    };
  }
  return best;
}

} // namespace azurecross

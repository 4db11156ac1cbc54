#include "Arbiter.h"

#include <algorithm>

namespace azurecross {
namespace {

/** Prompt tokens that wait for prefill and count as much as a full engine. */
constexpr double kFullPendingPrompt = 8192.0;
/** A queued request may be expected to wait for this part of its time only,
 * because predicted waits are off by about a third in a flood. */
constexpr double kUsableWait = 0.7;
/** Part of slots and memory that lesser work shares with the recent peak of
 * urgent work; the rest is free for an urgent burst above that peak. */
constexpr double kSharedPart = 0.9;
/** Puts a suspect backend server behind all others. */
constexpr double kSuspectPenalty = 10.0;
/** While light customers are served, requests of customers with long queues
 * go only to engines with at most half a step of prefill pending: a prompt
 * behind a full step of others gets its first token a step later. */
constexpr std::int64_t kMostYieldingPrompt = 256;
/** How long that lasts after a light customer's grant. */
constexpr Duration kYieldTime = std::chrono::seconds(1);
/** A refused caller is told to wait at least this long. */
constexpr double kShortestRetryAfter = 1.0;
constexpr double kLongestRetryAfter = 60.0;

bool
IsExcluded(const GrantRequest& aRequest, const BackendServerId& aServer)
{
  return std::find(aRequest.excluded_.begin(),
                   aRequest.excluded_.end(),
                   aServer) != aRequest.excluded_.end();
}

} // namespace

bool
Arbiter::IsRepeat(const GrantRequest& aRequest,
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
  if (IsRepeat(aRequest, aNow, aActions)) {
    return;
  }
  Lane* lane = FindLane(aRequest.model_);
  const bool hasServer =
    lane != nullptr &&
    std::any_of(
      lane->servers_.begin(), lane->servers_.end(), [&](std::uint32_t aIndex) {
        return aRequest.excluded_.empty() ||
               !IsExcluded(aRequest,
                           servers_[aIndex].model_.GetDescription().id_);
      });
  if (!hasServer) {
    Refuse(aRequest, ErrorCode::NoBackendServer, 0.0, aActions);
    return;
  }
  lane->waits_.ObserveArrival(aRequest.rank_);
  const double wait = ComputeWait(*lane, aRequest);
  const Duration usable =
    aRequest.deadline_ - aNow - lane->waits_.GetFirstTokenMargin();
  if (aRequest.deadline_ != Time::max() &&
      wait > std::max(0.0, kUsableWait * ToSeconds(usable))) {
    Refuse(aRequest, ErrorCode::DeadlineUnreachable, wait, aActions);
    return;
  }
  if (!MakeRoom(*lane, aRequest, aActions)) {
    Refuse(aRequest, ErrorCode::QueueFull, wait, aActions);
    return;
  }
  const std::uint64_t number = nextNumber_++;
  const double uncorrected = wait / lane->waits_.GetCorrection(aRequest.rank_);
  Queued queued{ aRequest, lane, 0, aNow, uncorrected };
  queued.lengthClass_ =
    lengths_.FindClass(aRequest.route_, aRequest.model_, aRequest.customer_);
  queued_.emplace(number, std::move(queued));
  queuedNumbers_.emplace(aRequest.request_, number);
  deadlines_.emplace(aRequest.deadline_, number);
  lane->queues_[static_cast<std::size_t>(aRequest.rank_)].Push(
    aRequest.customer_, number);
  Dispatch(*lane, aNow, aActions);
}

double
Arbiter::ComputeWait(const Lane& aLane, const GrantRequest& aRequest) const
{
  const auto rank = static_cast<std::size_t>(aRequest.rank_);
  const FairQueue& queue = aLane.queues_[rank];
  const std::size_t items = queue.CountItems();
  const double rate = aLane.waits_.PredictRate(
    aRequest.rank_, aLane.running_, aLane.slots_, options_.lesserFloor_);
  if (items == 0 || rate <= 0.0) {
    return 0.0;
  }
  // The fair queue serves every customer about equally, so a customer with
  // few items doesn't wait for the whole queue of a customer with many.
  const std::size_t own = queue.CountItemsOf(aRequest.customer_);
  const std::size_t customers =
    queue.CountBackloggedCustomers() + (own == 0 ? 1 : 0);
  const std::size_t ahead = std::min(items, (own + 1) * customers);
  return aLane.waits_.GetCorrection(aRequest.rank_) *
         static_cast<double>(ahead) / rate;
}

bool
Arbiter::MakeRoom(Lane& aLane,
                  const GrantRequest& aRequest,
                  ArbiterActions& aActions)
{
  FairQueue& queue = aLane.queues_[static_cast<std::size_t>(aRequest.rank_)];
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
  const double wait = ComputeWait(aLane, last);
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
    std::clamp(aWaitSeconds, kShortestRetryAfter, kLongestRetryAfter));
  // Jitter keeps refused callers from returning all at once.
  const Duration retryAfter = base + base / 2 - random_.Jitter(base / 2, 1.0);
  aActions.emplace_back(
    RefuseAction{ aRequest.request_, aRequest.entry_, aReason, retryAfter });
}

void
Arbiter::RemoveQueued(std::uint64_t aNumber)
{
  const auto position = queued_.find(aNumber);
  const GrantRequest& request = position->second.request_;
  position->second.lane_->queues_[static_cast<std::size_t>(request.rank_)]
    .Remove(request.customer_, aNumber);
  deadlines_.erase({ request.deadline_, aNumber });
  queuedNumbers_.erase(request.request_);
  queued_.erase(position);
}

void
Arbiter::RefuseLate(Time aNow, ArbiterActions& aActions)
{
  // A request that can't get its first token in time is refused while that
  // is still a truthful not_run.
  Duration margin{};
  for (const auto& [model, lane] : lanes_) {
    margin = std::max(margin, lane->waits_.GetFirstTokenMargin());
  }
  while (!deadlines_.empty() && deadlines_.begin()->first - aNow <= margin) {
    const std::uint64_t number = deadlines_.begin()->second;
    const Queued queued = queued_.at(number);
    queued.lane_->waits_.ObserveWait(queued.request_.rank_,
                                     queued.predictedWait_,
                                     ToSeconds(aNow - queued.queuedAt_));
    const double wait = ComputeWait(*queued.lane_, queued.request_);
    RemoveQueued(number);
    Refuse(queued.request_, ErrorCode::DeadlineUnreachable, wait, aActions);
  }
}

bool
Arbiter::IsLesserOwed(const Lane& aLane) const
{
  const double floor =
    std::min(options_.lesserFloor_ * aLane.slots_, floorSlots_);
  return aLane.queues_[static_cast<std::size_t>(Rank::Lesser)].CountItems() >
           0 &&
         aLane.running_[static_cast<std::size_t>(Rank::Lesser)] < floor;
}

bool
Arbiter::CanTakeLesser(const Lane& aLane) const
{
  const auto lesser = static_cast<std::size_t>(Rank::Lesser);
  const double slots =
    kSharedPart * aLane.slots_ - aLane.urgentSlots_.GetLast();
  if (aLane.running_[lesser] >= slots || CountLesserRunning() >= pacedSlots_) {
    return false;
  }
  const double memory =
    kSharedPart * aLane.memoryTokens_ - aLane.urgentTokens_.GetLast();
  return aLane.memoryTokens_ == 0.0 ||
         aLane.memory_[lesser].ComputePeak() < memory;
}

Rank
Arbiter::ChooseUrgentLimit(const Lane& aLane) const
{
  const auto urgent = static_cast<std::size_t>(Rank::Urgent);
  const auto number = aLane.queues_[urgent].PeekNext();
  if (!number) {
    return Rank::Urgent;
  }
  const CustomerId& customer = queued_.at(*number).request_.customer_;
  return aLane.queues_[urgent].CountItemsOf(customer) >
             FairQueue::kMaxLightItems
           ? Rank::Lesser
           : Rank::Urgent;
}

void
Arbiter::DispatchAll(Time aNow, ArbiterActions& aActions)
{
  for (auto& [model, lane] : lanes_) {
    Dispatch(*lane, aNow, aActions);
  }
}

void
Arbiter::Dispatch(Lane& aLane, Time aNow, ArbiterActions& aActions)
{
  while (IsLesserOwed(aLane) &&
         GrantNext(aLane, Rank::Lesser, Rank::Urgent, aNow, aActions)) {
  }
  while (
    GrantNext(aLane, Rank::Urgent, ChooseUrgentLimit(aLane), aNow, aActions)) {
  }
  if (aLane.queues_[static_cast<std::size_t>(Rank::Urgent)].CountItems() > 0) {
    return;
  }
  while (CanTakeLesser(aLane) &&
         GrantNext(aLane, Rank::Lesser, Rank::Lesser, aNow, aActions)) {
  }
}

bool
Arbiter::GrantNext(Lane& aLane,
                   Rank aRank,
                   Rank aLimitRank,
                   Time aNow,
                   ArbiterActions& aActions)
{
  FairQueue& queue = aLane.queues_[static_cast<std::size_t>(aRank)];
  const auto number = queue.PeekNext();
  return number && TryGrant(*number, aLimitRank, aNow, aActions);
}

bool
Arbiter::HasRoom(const Lane& aLane, Rank aLimitRank) const
{
  return std::any_of(
    aLane.servers_.begin(), aLane.servers_.end(), [&](std::uint32_t aIndex) {
      return slots_[aIndex].HasRoom(aLimitRank);
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
  if (!HasRoom(*queued.lane_, aLimitRank)) {
    return false;
  }
  const MemoryForecast forecast = Forecast(request, queued.lengthClass_, 0);
  matches_.clear();
  prefixes_.FindLongestMatches(request.prefixHashes_, aNow, matches_);
  const bool isHeavy =
    request.rank_ == Rank::Urgent && aLimitRank == Rank::Lesser;
  PlacementBounds bounds{ aLimitRank };
  if (isHeavy && aNow < queued.lane_->yieldUntil_) {
    bounds.pendingPrompt_ = kMostYieldingPrompt;
  }
  const auto placement = Place(*queued.lane_, request, forecast, bounds);
  if (!placement) {
    return false;
  }
  Granted granted;
  granted.request_ = request;
  granted.lane_ = queued.lane_;
  granted.lengthClass_ = queued.lengthClass_;
  granted.placement_ = *placement;
  granted.forecast_ = forecast;
  granted.waited_ = aNow - queued.queuedAt_;
  queued.lane_->waits_.ObserveWait(
    queued.request_.rank_, queued.predictedWait_, ToSeconds(granted.waited_));
  granted.isFloor_ = request.rank_ != aLimitRank;
  const GrantId grant(nextGrant_++);
  aActions.emplace_back(
    GrantAction{ request.request_,
                 request.entry_,
                 grant,
                 servers_[placement->server_].model_.GetDescription().id_ });
  if (request.rank_ == Rank::Urgent && !isHeavy) {
    granted.lane_->yieldUntil_ = aNow + kYieldTime;
  }
  granted.lane_->queues_[static_cast<std::size_t>(request.rank_)].PopNext();
  RemoveQueued(aNumber);
  prefixes_.AddPrompt(placement->server_, granted.request_.prefixHashes_, aNow);
  AddGrant(grant, std::move(granted), aNow);
  return true;
}

std::uint32_t
Arbiter::FindMatch(std::uint32_t aServer) const
{
  for (const PrefixIndex::Match& match : matches_) {
    if (match.server_ == aServer) {
      return match.blocks_;
    }
  }
  return 0;
}

std::optional<Placement>
Arbiter::Place(const Lane& aLane,
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
          kFullPendingPrompt;
  const std::size_t choices = options_.placementChoices_;
  const std::size_t count = choices == 0 ? aLane.servers_.size() : choices;
  for (std::size_t step = 0; step < count; ++step) {
    const std::uint32_t index =
      aLane.servers_[choices == 0 ? step
                                  : random_.DrawBelow(aLane.servers_.size())];
    if (!slots_[index].HasRoom(aBounds.limitRank_)) {
      continue;
    }
    const BackendServerModel& model = servers_[index].model_;
    if (model.GetPendingPrompt() > aBounds.pendingPrompt_) {
      continue;
    }
    // A held prefix counts as the prefill that it saves, so a backend server
    // that is busier than that saving is not preferred.
    const std::uint32_t blocks = matches_.empty() ? 0 : FindMatch(index);
    const double score =
      std::max(model.PredictGapShare(), model.ComputeMemoryShare()) +
      static_cast<double>(model.GetPendingPrompt()) / kFullPendingPrompt -
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

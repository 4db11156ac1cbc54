#include "Arbiter.h"

#include <cmath>

namespace azurecross {
namespace {

std::string
FormatPercent(double aShare)
{
  return std::to_string(std::lround(aShare * 100.0)) + "%";
}

std::string
FormatSlots(std::uint32_t aRunning, std::uint32_t aLimit)
{
  return std::to_string(aRunning) + " of " + std::to_string(aLimit) + " slots";
}

} // namespace

std::vector<std::string>
Arbiter::Explain(const RequestId& aRequest) const
{
  const auto queued = queuedNumbers_.find(aRequest);
  if (queued != queuedNumbers_.end()) {
    return ExplainQueued(queued_.at(queued->second));
  }
  const auto granted = grantIds_.find(aRequest);
  if (granted != grantIds_.end()) {
    return ExplainGranted(granted_.at(granted->second));
  }
  return {};
}

std::vector<std::string>
Arbiter::ExplainQueued(const Queued& aQueued) const
{
  const GrantRequest& request = aQueued.request_;
  const ModelQueues& modelQueues = *aQueued.modelQueues_;
  const auto rank = static_cast<std::size_t>(request.rank_);
  const FairQueue& queue = modelQueues.queues_[rank];
  std::vector<std::string> reasons;
  reasons.push_back(
    "queued with rank " + std::string(kRankNames.FindName(request.rank_)) +
    ", " + std::to_string(queue.CountItems()) + " queued of " +
    std::to_string(queue.CountBackloggedCustomers()) + " customers");
  reasons.push_back("customer " + request.customer_.GetValue() + " has " +
                    std::to_string(queue.CountItemsOf(request.customer_)) +
                    " queued and is " +
                    std::to_string(static_cast<std::int64_t>(
                      queue.ComputeExcessCharge(request.customer_))) +
                    " charged tokens ahead of the customer served last");
  reasons.push_back("expected wait " +
                    std::to_string(ComputeWait(modelQueues, request)) + " s");
  if (request.rank_ == Rank::Lesser && !CanGrantLesser(modelQueues)) {
    reasons.push_back("lesser work has reached its limit of slots or memory");
  }
  const MemoryForecast forecast =
    ForecastMemory(request, aQueued.lengthClass_, 0);
  for (std::uint32_t index : modelQueues.servers_) {
    const Server& server = servers_[index];
    const BackendServerModel& model = server.model_;
    std::string reason = model.GetDescription().id_.GetValue() + ": ";
    if (server.isEjected_) {
      reason += "ejected";
    } else if (model.GetRunning() >= model.GetLimit(request.rank_)) {
      reason += "no free slot, " +
                FormatSlots(model.GetRunning(), model.GetLimit(request.rank_));
    } else if (!model.HasMemoryFor(forecast, request.rank_)) {
      reason += "not enough memory, predicted peak " +
                FormatPercent(model.ComputeMemoryShare());
    } else {
      reason += "free, but excluded for the request or reserved for other work";
    }
    reasons.push_back(std::move(reason));
  }
  return reasons;
}

std::vector<std::string>
Arbiter::ExplainGranted(const Granted& aGranted) const
{
  const Placement& placement = aGranted.placement_;
  const BackendServerId& server =
    servers_[placement.server_].model_.GetDescription().id_;
  std::vector<std::string> reasons;
  reasons.push_back("granted " + server.GetValue() + " after " +
                    std::to_string(ToSeconds(aGranted.waited_)) + " s");
  reasons.push_back("the backend server had " +
                    FormatSlots(placement.running_, placement.limit_) +
                    " in use and a predicted memory peak of " +
                    FormatPercent(placement.memoryShare_));
  if (placement.prefixBlocks_ > 0) {
    reasons.push_back("the backend server has about " +
                      std::to_string(placement.prefixBlocks_) +
                      " blocks of the prompt cached");
  }
  if (aGranted.isFloorGrant_) {
    reasons.emplace_back(
      "granted because lesser work was below its minimum share");
  }
  reasons.push_back(std::to_string(aGranted.tokens_) + " output tokens so far");
  return reasons;
}

} // namespace azurecross

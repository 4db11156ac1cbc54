#include "DecisionCost.h"

#include "DecisionTimer.h"

#include <azurecross_policy/azurecross_policy.h>

#include <string>
#include <vector>

namespace azurecross::bench {
namespace {

constexpr int kDecisions = 40'000;
constexpr std::uint32_t kMemoryTokens = 1'000'000;

GrantRequest
MakeRequest(std::uint64_t aNumber, std::size_t aCustomers, Random& aRandom)
{
  GrantRequest request;
  request.request_ = RequestId("request-" + std::to_string(aNumber));
  request.entry_ = EntryId("entry");
  request.customer_ =
    CustomerId("customer-" + std::to_string(aRandom.DrawBelow(aCustomers)));
  request.rank_ = aRandom.DrawBelow(4) == 0 ? Rank::Lesser : Rank::Urgent;
  request.route_ = RouteName("route");
  request.model_ = ModelName("model");
  request.promptTokens_ = 500;
  return request;
}

std::vector<BackendServerDescription>
MakeServers(std::size_t aCount)
{
  std::vector<BackendServerDescription> servers;
  for (std::size_t index = 0; index < aCount; ++index) {
    servers.push_back({ BackendServerId("server-" + std::to_string(index)),
                        { ModelName("model") },
                        kMemoryTokens,
                        64,
                        false });
  }
  return servers;
}

} // namespace

DecisionCost
MeasureDecisionCost(const DecisionCostOptions& aOptions)
{
  ArbiterOptions options;
  options.queueLimit_ = 2 * aOptions.queued_ + 1000;
  options.seed_ = aOptions.seed_;
  Arbiter arbiter(options);
  ArbiterActions actions;
  Random random(aOptions.seed_);
  Time now{};
  arbiter.SetBackendServers(MakeServers(aOptions.servers_), now, actions);
  std::vector<GrantId> running;
  const auto collect = [&] {
    for (const ArbiterAction& action : actions) {
      if (const auto* grant = std::get_if<GrantAction>(&action)) {
        running.push_back(grant->grant_);
      }
    }
    actions.clear();
  };
  std::uint64_t number = 0;
  const auto countQueued = [&] {
    const GroupSummary summary = arbiter.Summarize();
    return summary.queued_[0] + summary.queued_[1];
  };
  do {
    arbiter.Enqueue(
      MakeRequest(number++, aOptions.customers_, random), now, actions);
    collect();
  } while (countQueued() < aOptions.queued_);
  DecisionTimer timer;
  for (int decision = 0; decision < kDecisions; ++decision) {
    now += std::chrono::microseconds(100);
    const GrantRequest request =
      MakeRequest(number++, aOptions.customers_, random);
    timer.Measure([&] { arbiter.Enqueue(request, now, actions); });
    const std::size_t index = random.DrawBelow(running.size());
    const GrantId grant = running[index];
    running[index] = running.back();
    running.pop_back();
    timer.Measure(
      [&] { arbiter.Release(grant, GrantOutcome::Completed, now, actions); });
    collect();
    if (decision % 1000 == 0) {
      arbiter.Tick(now, actions);
      collect();
    }
  }
  return { timer.ComputeQuantile(0.5), timer.ComputeQuantile(0.99) };
}

} // namespace azurecross::bench

#include "PolicyRun.h"

#include "ArbiterPolicy.h"
#include "BaselinePolicy.h"
#include "Simulation.h"

namespace azurecross::bench {

Figures
RunPolicy(const Scenario& aScenario,
          const std::vector<Arrival>& aArrivals,
          PolicyKind aKind,
          std::uint64_t aSeed)
{
  PolicyOptions options;
  options.kind_ = aKind;
  options.zones_ = aScenario.engineZones_;
  options.zoneCount_ = aScenario.zoneCount_;
  options.entries_ = aScenario.workload_.entries_;
  options.seed_ = aSeed;
  options.isPaced_ = aScenario.isPaced_;
  for (std::size_t server = 0; server < aScenario.workload_.engines_.size();
       ++server) {
    const EngineParameters& engine = aScenario.workload_.engines_[server];
    options.servers_.push_back({ MakeServerId(server),
                                 { ModelName("m") },
                                 engine.memoryTokens_,
                                 engine.maxBatch_,
                                 false });
  }
  if (aKind == PolicyKind::RoundRobin ||
      aKind == PolicyKind::LeastOutstanding) {
    return Simulation<BaselinePolicy>(aScenario, aArrivals, options).Run();
  }
  return Simulation<ArbiterPolicy>(aScenario, aArrivals, options).Run();
}

} // namespace azurecross::bench

#pragma once

#include "../admission/DecayingPeak.h"
#include "../admission/MemoryForecast.h"
#include "../admission/WaitEstimator.h"
#include "../fairness/FairQueue.h"

#include <array>
#include <cstdint>
#include <vector>

namespace azurecross {

/** The request queues of one model and the backend servers that have the model
 * loaded. Plain services use one instance, with an empty model name. */
struct ModelQueues
{
  explicit ModelQueues(const ModelName& aModel)
    : model_(aModel)
  {
    queues_.fill(
      FairQueue(aModel.GetValue().empty() ? kBurstCalls : kBurstTokens));
  }

  /** Charge by which a customer with few queued requests may exceed its fair
   * share: some seconds of a share on a dozen engines, or calls of a plain
   * service. */
  static constexpr double kBurstTokens = 8192.0;
  static constexpr double kBurstCalls = 16.0;
  static constexpr Duration kUrgentPeakTimeConstant = std::chrono::minutes(2);

  ModelName model_;
  /** Indexes of the backend servers that have the model loaded. */
  std::vector<std::uint32_t> servers_;
  std::array<FairQueue, kRankCount> queues_;
  std::array<std::uint32_t, kRankCount> running_{};
  /** Slots under the present limits for urgent work. */
  std::uint32_t slots_ = 0;
  /** Total memory of the backend servers, and its predicted use by rank. */
  double memoryTokens_ = 0.0;
  std::array<MemoryForecast, kRankCount> memory_;
  WaitEstimator waitEstimator_;
  /** Recent peaks of the slots and memory of urgent work. Lesser work leaves
   * them free, because a long lesser generation can't be preempted. */
  DecayingPeak urgentSlotPeak_{ kUrgentPeakTimeConstant };
  DecayingPeak urgentMemoryPeak_{ kUrgentPeakTimeConstant };
  /** End of the period in which customers with long queues leave prefill time
   * to other customers. */
  Time prefillYieldUntil_{};
};

} // namespace azurecross

#pragma once

#include "../admission/DecayingPeak.h"
#include "../admission/MemoryForecast.h"
#include "../admission/WaitEstimator.h"
#include "../fairness/FairQueue.h"

#include <array>
#include <cstdint>
#include <vector>

namespace azurecross {

/** The queues of one model's requests and the backend servers that hold the
 * model. Plain services have one lane, for the empty model name. */
struct ModelQueues
{
  explicit ModelQueues(const ModelName& aModel)
    : model_(aModel)
  {
    queues_.fill(
      FairQueue(aModel.GetValue().empty() ? kBurstCalls : kBurstTokens));
  }

  /** Charge by which a customer with few queued requests may run ahead: some
   * seconds of a fair share on a dozen engines, or calls of a service. */
  static constexpr double kBurstTokens = 8192.0;
  static constexpr double kBurstCalls = 16.0;
  static constexpr Duration kUrgentPeakTimeConstant = std::chrono::minutes(2);

  ModelName model_;
  /** Indexes of the backend servers that hold the model. */
  std::vector<std::uint32_t> servers_;
  std::array<FairQueue, kRankCount> queues_;
  std::array<std::uint32_t, kRankCount> running_{};
  /** Slots that the limits for urgent work allow at present. */
  std::uint32_t slots_ = 0;
  /** Memory of the backend servers, and its predicted use by rank. */
  double memoryTokens_ = 0.0;
  std::array<MemoryForecast, kRankCount> memory_;
  WaitEstimator waitEstimator_;
  /** What urgent work used at most in the recent past; lesser work leaves it
   * free, because a long lesser generation can't be taken back. */
  DecayingPeak urgentSlotPeak_{ kUrgentPeakTimeConstant };
  DecayingPeak urgentMemoryPeak_{ kUrgentPeakTimeConstant };
  /** Until then, customers with long queues leave prefill time to others. */
  Time prefillYieldUntil_{};
};

} // namespace azurecross

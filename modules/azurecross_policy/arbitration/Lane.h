#pragma once

#include "../admission/WaitEstimator.h"
#include "../fairness/FairQueue.h"

#include <array>
#include <cstdint>
#include <vector>

namespace azurecross {

/** The queues of one model's requests and the backend servers that hold the
 * model. Plain services have one lane, for the empty model name. */
struct Lane
{
  ModelName model_;
  /** Indexes of the backend servers that hold the model. */
  std::vector<std::uint32_t> servers_;
  std::array<FairQueue, kRankCount> queues_;
  std::array<std::uint32_t, kRankCount> running_{};
  /** Slots that the limits for urgent work allow at present. */
  std::uint32_t slots_ = 0;
  WaitEstimator waits_;
};

} // namespace azurecross

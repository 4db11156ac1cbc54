#pragma once

#include "../arbitration/BackendServerDescription.h"
#include "MemoryForecast.h"

#include <azurecross_core/azurecross_core.h>

#include <array>
#include <cstdint>

namespace azurecross {

/**
 * Load and performance model of one backend server: its slots in use, predicted
 * memory and learned speed.
 *
 * The gap between tokens is modelled as `a + b * running` by linear regression
 * on the observed gaps, and limits the number of concurrent requests.
 */
class BackendServerModel
{
public:
  explicit BackendServerModel(Duration aTargetGap);

  void SetDescription(const BackendServerDescription& aDescription);

  /** Limits this model to 1 / `aDivisor` of the slots and memory. */
  void SetCapacityDivisor(std::uint32_t aDivisor);

  /** Adds a request, which uses a slot and, on an engine, memory. */
  void AddRequest(Rank aRank, const MemoryForecast& aForecast);
  void RemoveRequest(Rank aRank, const MemoryForecast& aForecast);
  /** Replaces the forecast of a request that has generated more tokens. */
  void UpdateForecast(const MemoryForecast& aOld, const MemoryForecast& aNew);

  /** Adds `aTokens` prompt tokens that wait for prefill; a negative number
   * removes tokens. */
  void AddPendingPromptTokens(std::int64_t aTokens)
  {
    pendingPromptTokens_ += aTokens;
  }
  std::int64_t GetPendingPromptTokens() const { return pendingPromptTokens_; }

  /** Updates the speed from the mean gap of one stream between two reports. */
  void ObserveGap(Duration aGap);

  /** Updates the memory size, and lowers the usable memory after preemptions.
   */
  void ObserveLoad(const BackendServerLoad& aLoad);

  /** Counts the requests and memory of a load report that exceed this model's
   * own, which belong to other entries. */
  void ObserveExternalLoad(const BackendServerLoad& aLoad);

  /** @returns whether the predicted memory suffices for one more request.
   */
  bool HasMemoryFor(const MemoryForecast& aForecast, Rank aRank) const;

  /** @returns the predicted peak of memory use as a share of the memory. */
  double ComputeMemoryShare() const { return memoryShare_; }

  /** @returns the limit on concurrent requests for work of this rank. */
  std::uint32_t GetLimit(Rank aRank) const
  {
    return limits_[static_cast<std::size_t>(aRank)];
  }
  std::uint32_t GetRunning() const
  {
    return running_[0] + running_[1] + externalRunning_;
  }
  std::uint32_t GetRunning(Rank aRank) const
  {
    return running_[static_cast<std::size_t>(aRank)];
  }

  /** @returns the predicted gap between tokens at the present load. */
  double PredictGapSeconds() const
  {
    return intercept_ + slope_ * GetRunning();
  }

  /** @returns the predicted gap with one more request, relative to the maximum
   * mean gap; for plain services, the share of slots in use. */
  double PredictGapShare() const;

  /** @returns the output tokens per second at the limits, for requests that use
   * `aMeanMemory` tokens of memory on average; 0 for plain services. */
  double ComputeTokenRate(double aMeanMemory) const;

  const BackendServerDescription& GetDescription() const
  {
    return description_;
  }

private:
  void FitGapModel();
  void UpdateLimits();
  void UpdateMemoryShare();

  BackendServerDescription description_;
  Duration targetGap_;
  std::uint32_t capacityDivisor_ = 1;
  std::array<std::uint32_t, kRankCount> running_{};
  std::array<std::uint32_t, kRankCount> limits_{};
  /** Requests and memory of other entries, from load reports. */
  std::uint32_t externalRunning_ = 0;
  double externalMemory_ = 0.0;
  MemoryForecast memory_;
  std::int64_t pendingPromptTokens_ = 0;
  double memoryShare_ = 0.0;
  /** Factor on usable memory, which drops on preemptions and recovers slowly.
   */
  double memoryTrust_ = 1.0;
  std::uint64_t preemptions_ = 0;
  bool hasPreemptionCount_ = false;

  /** Exponentially weighted sums for the regression of the gap on the number of
   * running requests. */
  double sumWeight_ = 0.0;
  double sumRunning_ = 0.0;
  double sumGap_ = 0.0;
  double sumRunningSquared_ = 0.0;
  double sumRunningGap_ = 0.0;
  double intercept_ = 0.0;
  double slope_ = 0.0;
  double largestBatch_ = 0.0;
  std::uint32_t observations_ = 0;
};

} // namespace azurecross

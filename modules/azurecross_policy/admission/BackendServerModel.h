#pragma once

#include "../arbitration/BackendServerDescription.h"
#include "MemoryForecast.h"

#include <azurecross_core/azurecross_core.h>

#include <array>
#include <cstdint>

namespace azurecross {

/**
 * What is known about one backend server: its slots in use, its predicted
 * memory and its learned speed.
 *
 * The gap between tokens is modelled as `a + b * running`, fitted to the gaps
 * observed, and bounds the number of requests that run at once.
 */
class BackendServerModel
{
public:
  explicit BackendServerModel(Duration aTargetGap);

  void SetDescription(const BackendServerDescription& aDescription);

  /** Leaves only 1 / `aDivisor` of slots and memory to this view. */
  void SetCapacityDivisor(std::uint32_t aDivisor);

  /** Adds a request that takes a slot and, on an engine, memory. */
  void AddRequest(Rank aRank, const MemoryForecast& aForecast);
  void RemoveRequest(Rank aRank, const MemoryForecast& aForecast);
  /** Replaces the forecast of a request that has generated more tokens. */
  void UpdateForecast(const MemoryForecast& aOld, const MemoryForecast& aNew);

  /** Adds prompt tokens that wait for prefill, or removes them if negative. */
  void AddPendingPromptTokens(std::int64_t aTokens)
  {
    pendingPromptTokens_ += aTokens;
  }
  std::int64_t GetPendingPromptTokens() const { return pendingPromptTokens_; }

  /** Learns from the mean gap of one stream between two reports. */
  void ObserveGap(Duration aGap);

  /** Learns the memory size and reacts to preemptions. */
  void ObserveLoad(const BackendServerLoad& aLoad);

  /** Counts what a load report shows beyond this view's own requests. */
  void ObserveExternalLoad(const BackendServerLoad& aLoad);

  /** @returns whether memory is predicted to suffice with one more request.
   */
  bool HasMemoryFor(const MemoryForecast& aForecast, Rank aRank) const;

  /** @returns the predicted share of memory in use at the fullest moment. */
  double ComputeMemoryShare() const { return memoryShare_; }

  /** @returns how many requests may run at once for work of this rank. */
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

  /** @returns the gap that the learned speed gives at the present load. */
  double PredictGapSeconds() const
  {
    return intercept_ + slope_ * GetRunning();
  }

  /** @returns the gap with one more request, relative to the longest mean gap
   * allowed; for plain services, the share of slots in use. */
  double PredictGapShare() const;

  /** @returns output tokens per second at the limits, for requests that hold
   * this much memory on average; 0 for plain services. */
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
  /** Requests and memory of other views, from load reports. */
  std::uint32_t externalRunning_ = 0;
  double externalMemory_ = 0.0;
  MemoryForecast memory_;
  std::int64_t pendingPromptTokens_ = 0;
  double memoryShare_ = 0.0;
  /** Factor on usable memory; drops on preemptions and recovers slowly. */
  double memoryTrust_ = 1.0;
  std::uint64_t preemptions_ = 0;
  bool hasPreemptionCount_ = false;

  /** Weighted sums of the regression of gap on running requests. */
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

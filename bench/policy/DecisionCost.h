#pragma once

#include <cstddef>
#include <cstdint>

namespace azurecross::bench {

/** Cost of single decisions of one large arbiter, in microseconds. */
struct DecisionCost
{
  double p50_ = 0.0;
  double p99_ = 0.0;
};

/** Size of an arbiter whose decisions are timed. */
struct DecisionCostOptions
{
  std::size_t servers_ = 590;
  std::size_t customers_ = 7'200;
  /** Queued requests that are kept up while it is timed. */
  std::size_t queued_ = 4'000;
  std::uint64_t seed_ = 1;
};

/** Times `Enqueue` and `Release` of an arbiter with full engines. */
DecisionCost
MeasureDecisionCost(const DecisionCostOptions& aOptions);

} // namespace azurecross::bench

#pragma once

#include "ServerStatistics.h"

#include <azurecross_core/azurecross_core.h>

#include <array>
#include <cstddef>
#include <optional>

namespace azurecross {

/**
 * The shortest time per output token that an engine has shown recently.
 *
 * Prompts that are read between the steps, and engines that are slow for a
 * moment, only lengthen the time, so that the shortest one tells engines of
 * different speed apart under any load.
 */
class TokenPace
{
public:
  void Observe(double aSecondsPerToken, Time aNow);
  /** @returns the shortest time per token, if one is known. */
  std::optional<double> Find(Time aNow) const;

private:
  /** The shortest time of one period, and when the period began. */
  struct Period
  {
    Time start_;
    std::optional<double> shortest_;
  };

  Period current_;
  Period previous_;
};

/**
 * How much longer than at its fastest pace an engine takes between two events
 * when it is disturbed, learned from the streams of one daemon on all engines.
 */
class StallStatistics
{
public:
  StallStatistics() = default;

  /** Records a gap.
   * @param aRatio the gap divided by its length at the engine's fastest pace.
   */
  void Observe(double aRatio, Time aNow);
  /** @returns the ratio of the gaps that a stream of some hundred events meets
   * a few times, weighted by the number of gaps; without weight before there
   * are enough of them. */
  DecayedMean GetDisturbedRatio() const;

private:
  /** Buckets grow by five percent each, up to a ratio of about 22. */
  static constexpr std::size_t kBuckets = 64;

  std::array<double, kBuckets> weights_{};
  double totalWeight_ = 0.0;
  Time decayedAt_;
};

} // namespace azurecross

#pragma once

#include <azurecross_core/azurecross_core.h>

#include <optional>

namespace azurecross {

/** A weighted mean in which the weight of old observations decays. */
struct DecayedMean
{
  double sum_ = 0.0;
  /** Sum of the weights of all observations. */
  double weight_ = 0.0;

  void Add(double aValue);
  void Add(const DecayedMean& aOther, double aFactor = 1.0);
  void Scale(double aFactor);

  /** @returns the mean of the observations and a prior `aAssumed`, where the
   * prior has the weight of `aAssumedWeight` observations. */
  double GetMean(double aAssumed, double aAssumedWeight) const;
};

/**
 * Recent observations of one backend server. In a large fleet, one daemon uses
 * each server too rarely for a good estimate, so daemons share their
 * statistics.
 */
struct ServerStatistics
{
  /** Prefill time per prompt token, queued prompt tokens included. */
  DecayedMean secondsPerPromptToken_;
  /** Time between two output tokens. */
  DecayedMean secondsPerToken_;
  /** Duration of a plain call. */
  DecayedMean secondsPerCall_;
  /** Share of failed runs: 1 for a failed or rejected run, 0 for a success. */
  DecayedMean failureShare_;

  void Add(const ServerStatistics& aOther, double aFactor = 1.0);
  void Scale(double aFactor);

  /** @returns whether any statistic has enough weight to be shared. */
  bool HasSignificantWeight() const;
};

/** The statistics of one daemon about one server, decaying exponentially. */
class DecayingStatistics
{
public:
  /** Applies the decay up to `aNow` and returns the statistics. */
  ServerStatistics& Get(Time aNow);
  /** @returns the statistics as of the last update, without further decay. */
  const ServerStatistics& GetLatest() const { return statistics_; }
  void Reset() { *this = DecayingStatistics(); }

private:
  ServerStatistics statistics_;
  std::optional<Time> decayedAt_;
};

} // namespace azurecross

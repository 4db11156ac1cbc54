#pragma once

#include <azurecross_core/azurecross_core.h>

#include <optional>

namespace azurecross {

/** A mean of observations in which old ones count less and less. */
struct DecayedMean
{
  double sum_ = 0.0;
  /** How many observations it stands for. */
  double weight_ = 0.0;

  void Add(double aValue);
  void Add(const DecayedMean& aOther, double aFactor = 1.0);
  void Scale(double aFactor);

  /** @returns the mean, drawn towards an assumption that counts as much as
   * `aAssumedWeight` observations. */
  double GetMean(double aAssumed, double aAssumedWeight) const;
};

/**
 * What daemons have observed of one backend server lately. A daemon of a large
 * fleet sees each server too seldom to know it, so the daemons tell each other.
 */
struct ServerStatistics
{
  /** Seconds to read one prompt token, waiting ones included. */
  DecayedMean secondsPerPromptToken_;
  /** Seconds between two output tokens. */
  DecayedMean secondsPerToken_;
  /** Seconds of a plain call. */
  DecayedMean secondsPerCall_;
  /** 1 for a run that failed or was rejected, 0 for a good one. */
  DecayedMean failureShare_;

  void Add(const ServerStatistics& aOther, double aFactor = 1.0);
  void Scale(double aFactor);

  /** @returns whether it tells anything that others could use. */
  bool HasSignificantWeight() const;
};

/** The learning of one daemon, which fades with time. */
class DecayingStatistics
{
public:
  /** @returns what is known now. */
  ServerStatistics& Get(Time aNow);
  const ServerStatistics& GetLatest() const { return ownStatistics_; }
  void Reset() { *this = DecayingStatistics(); }

private:
  ServerStatistics ownStatistics_;
  std::optional<Time> decayedAt_;
};

} // namespace azurecross

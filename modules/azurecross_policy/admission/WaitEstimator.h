#pragma once

#include <azurecross_core/azurecross_core.h>

#include <array>
#include <cstdint>

namespace azurecross {

/**
 * Predicts the waits of queued requests from the durations of slots. By
 * Little's law, slots of a rank are released at the rate of running requests
 * divided by the mean slot duration. Unlike a count of grants, this rate is
 * known before a queue forms.
 */
class WaitEstimator
{
public:
  void ObserveArrival(Rank aRank) { ++arrivalCounts_[GetIndex(aRank)]; }
  void ObserveSlotDuration(Rank aRank, Duration aDuration);
  void ObserveFirstToken(Duration aAfterGrant);

  /** Updates the correction from a predicted wait, without correction, and the
   * actual wait. A corrected prediction would feed the correction back into
   * itself and overshoot. */
  void ObserveWait(Rank aRank, double aPredictedSeconds, double aActualSeconds);
  /** @returns the ratio of actual to predicted waits. */
  double GetCorrection(Rank aRank) const
  {
    return corrections_[GetIndex(aRank)];
  }

  /** Updates the smoothed arrival rates; must be called periodically. */
  void Tick(Duration aElapsed);

  /**
   * @returns the predicted rate of slots for queued requests of a rank, per
   * second; 0 before the first observation.
   */
  double PredictSlotRate(Rank aRank,
                         const std::array<std::uint32_t, kRankCount>& aRunning,
                         std::uint32_t aSlots,
                         double aLesserFloor) const;

  /** @returns an upper estimate of the time from grant to first token, which
   * few requests exceed. */
  Duration GetFirstTokenMargin() const;

private:
  static std::size_t GetIndex(Rank aRank)
  {
    return static_cast<std::size_t>(aRank);
  }

  std::array<std::uint32_t, kRankCount> arrivalCounts_{};
  std::array<double, kRankCount> arrivalRates_{};
  std::array<double, kRankCount> meanSlotSeconds_{};
  std::array<std::uint32_t, kRankCount> slotDurationCounts_{};
  std::array<double, kRankCount> corrections_{ 1.0, 1.0 };
  double firstTokenSeconds_ = 0.0;
  double firstTokenDeviation_ = 0.0;
  bool hasFirstToken_ = false;
};

} // namespace azurecross

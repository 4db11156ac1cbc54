#pragma once

#include <azurecross_core/azurecross_core.h>

#include <array>
#include <cstdint>

namespace azurecross {

/**
 * Predicts how soon queued requests get a slot, from how long requests hold
 * one. By Little's law the slots of a rank come free at the rate of running
 * requests divided by the mean time they hold a slot. Unlike counted grants,
 * that is known before a queue forms.
 */
class WaitEstimator
{
public:
  void ObserveArrival(Rank aRank) { ++arrivalCounts_[GetIndex(aRank)]; }
  void ObserveSlotDuration(Rank aRank, Duration aDuration);
  void ObserveFirstToken(Duration aAfterGrant);

  /** Compares a wait as predicted without the correction with how long the
   * request really waited. A corrected prediction would feed the correction
   * back into itself, and overshoot. */
  void ObserveWait(Rank aRank, double aPredictedSeconds, double aActualSeconds);
  /** @returns the factor by which predicted waits have been too short. */
  double GetCorrection(Rank aRank) const
  {
    return corrections_[GetIndex(aRank)];
  }

  /** Smooths the arrival rates; call regularly. */
  void Tick(Duration aElapsed);

  /**
   * @returns slots per second that queued requests of a rank can expect; 0 if
   * nothing is known yet.
   */
  double PredictSlotRate(Rank aRank,
                         const std::array<std::uint32_t, kRankCount>& aRunning,
                         std::uint32_t aSlots,
                         double aLesserFloor) const;

  /** @returns the time from grant to first token that few requests exceed. */
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

#pragma once

#include <azurecross_core/azurecross_core.h>

#include <array>
#include <cstdint>

namespace azurecross {

/**
 * Limits lesser requests so that they don't raise the billed peak minute.
 *
 * The supplier bills by the busiest minute of the month. Urgent requests are
 * never limited and may raise that peak. Lesser requests use the capacity that
 * urgent requests leave below the peak, and raise it only if their guaranteed
 * minimum rate (the floor) requires it. Minutes are counted from the epoch of
 * `Time`; the constructor's offset aligns them with the supplier's minutes.
 */
class Pacer
{
public:
  explicit Pacer(Duration aMinuteOffset = {})
    : minuteOffset_(aMinuteOffset)
  {
  }

  /** Adds completed work, in charged tokens, to the current minute. */
  void RecordUsage(Rank aRank, double aTokens);

  /**
   * Updates the smoothed token rates. Must be called at regular intervals.
   * @param aLesserRunning number of lesser requests that ran since the last
   * call.
   */
  void Tick(std::uint32_t aLesserRunning, Time aNow);

  /**
   * @returns the number of lesser requests that may run concurrently.
   * @param aFloorRate charged tokens per second that lesser requests may use
   * even if they raise the peak.
   */
  double ComputeLesserSlots(double aFloorRate, Time aNow) const;

  /** @returns the number of concurrent lesser requests that use the floor rate.
   */
  double ComputeFloorSlots(double aFloorRate) const;

  /** @returns the charged tokens of the busiest minute in this month. */
  double GetPeak() const { return peakTokens_; }
  /** Raises the peak to a value from the store; a lower value is ignored. */
  void LoadPeak(double aTokensPerMinute);
  /** Resets the peak at the start of a billing month. */
  void StartBillingMonth();

private:
  std::int64_t ComputeMinute(Time aNow) const;

  Duration minuteOffset_;
  double peakTokens_ = 0.0;
  std::int64_t currentMinute_ = 0;
  double minuteTokens_ = 0.0;
  std::array<double, kRankCount> tokensSinceTick_{};
  /** Charged tokens per second of urgent requests, smoothed over a few seconds
   * and over half a minute. */
  double urgentRateShort_ = 0.0;
  double urgentRateLong_ = 0.0;
  /** Charged tokens per second of one running lesser request, smoothed. */
  double lesserRequestRate_ = 0.0;
  std::uint32_t lesserRateSamples_ = 0;
  Time lastTick_{};
  bool hasTicked_ = false;
};

} // namespace azurecross

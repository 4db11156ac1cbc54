#pragma once

#include <azurecross_core/azurecross_core.h>

#include <array>
#include <cstdint>

namespace azurecross {

/**
 * Keeps lesser work under the busiest minute already paid for.
 *
 * The supplier bills by the busiest minute of the month. Urgent work is never
 * held back and may raise that minute; lesser work uses what urgent work
 * leaves below it, and raises it only to keep its floor. Minutes are counted
 * from the epoch of `Time`; pass an offset to align them with the supplier's.
 */
class Pacer
{
public:
  explicit Pacer(Duration aMinuteOffset = {})
    : offset_(aMinuteOffset)
  {
  }

  /** Records work done, in charged tokens. */
  void RecordUsage(Rank aRank, double aTokens);

  /** Updates the rates; call regularly. */
  void Tick(std::uint32_t aLesserRunning, Time aNow);

  /**
   * @returns how many lesser requests may run at once.
   * @param aFloorRate charged tokens per second that lesser work may use even
   * if that raises the busiest minute.
   */
  double ComputeLesserSlots(double aFloorRate, Time aNow) const;

  /** @returns how many running lesser requests use the floor rate. */
  double ComputeFloorSlots(double aFloorRate) const;

  /** The busiest minute so far, in charged tokens. */
  double GetPeak() const { return peak_; }
  /** Takes a peak from the store; a lower one than known is ignored. */
  void LoadPeak(double aTokensPerMinute);
  /** Forgets the peak: a new month is billed. */
  void StartBillingMonth();

private:
  std::int64_t GetMinute(Time aNow) const;

  Duration offset_;
  double peak_ = 0.0;
  std::int64_t minute_ = 0;
  double usedInMinute_ = 0.0;
  std::array<double, kRankCount> pending_{};
  /** Charged tokens per second of urgent work, over seconds and over half a
   * minute. */
  double urgentFast_ = 0.0;
  double urgentSlow_ = 0.0;
  /** Charged tokens per second of one running lesser request. */
  double lesserUnit_ = 0.0;
  std::uint32_t unitSamples_ = 0;
  Time lastTick_{};
  bool hasTicked_ = false;
};

} // namespace azurecross

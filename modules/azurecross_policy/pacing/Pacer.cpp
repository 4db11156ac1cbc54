#include "Pacer.h"

#include <algorithm>
#include <cmath>

namespace azurecross {
namespace {

constexpr double kMinuteSeconds = 60.0;
/** Time constant that smooths progress reports, which arrive in batches every
 * 250 ms. */
constexpr double kShortRateSeconds = 3.0;
constexpr double kLongRateSeconds = 30.0;
constexpr double kLesserRateSeconds = 10.0;
/** Fraction of the peak that lesser requests may fill. Running requests can't
 * be withdrawn when the urgent rate rises, so some headroom is kept. */
constexpr double kTargetPeakFraction = 0.97;
/** Lower limit for the remaining seconds of a minute, because requests that
 * start near its end continue in the next minute. */
constexpr double kMinRemainingSeconds = 15.0;

} // namespace

std::int64_t
Pacer::ComputeMinute(Time aNow) const
{
  return std::chrono::floor<std::chrono::minutes>(aNow.time_since_epoch() +
                                                  minuteOffset_)
    .count();
}

void
Pacer::RecordUsage(Rank aRank, double aTokens)
{
  tokensSinceTick_[static_cast<std::size_t>(aRank)] += aTokens;
}

void
Pacer::LoadPeak(double aTokensPerMinute)
{
  peakTokens_ = std::max(peakTokens_, aTokensPerMinute);
}

void
Pacer::StartBillingMonth()
{
  peakTokens_ = 0.0;
}

void
Pacer::Tick(std::uint32_t aLesserRunning, Time aNow)
{
  const double elapsed = ToSeconds(aNow - lastTick_);
  const std::int64_t minute = ComputeMinute(aNow);
  if (minute != currentMinute_) {
    currentMinute_ = minute;
    minuteTokens_ = 0.0;
  }
  minuteTokens_ += tokensSinceTick_[0] + tokensSinceTick_[1];
  peakTokens_ = std::max(peakTokens_, minuteTokens_);
  if (hasTicked_ && elapsed > 0.0) {
    const double urgentRate = tokensSinceTick_[0] / elapsed;
    urgentRateShort_ += -std::expm1(-elapsed / kShortRateSeconds) *
                        (urgentRate - urgentRateShort_);
    urgentRateLong_ +=
      -std::expm1(-elapsed / kLongRateSeconds) * (urgentRate - urgentRateLong_);
    if (aLesserRunning > 0) {
      const double requestRate = tokensSinceTick_[1] / elapsed / aLesserRunning;
      // The first samples are averaged. Exponential smoothing from 0 would
      // underestimate the rate and admit too many requests.
      ++lesserRateSamples_;
      const double weight = std::max(
        1.0 / lesserRateSamples_, -std::expm1(-elapsed / kLesserRateSeconds));
      lesserRequestRate_ += weight * (requestRate - lesserRequestRate_);
    }
  }
  tokensSinceTick_ = {};
  lastTick_ = aNow;
  hasTicked_ = true;
}

double
Pacer::ComputeFloorSlots(double aFloorRate) const
{
  return lesserRequestRate_ > 0.0 ? aFloorRate / lesserRequestRate_ : 1.0;
}

double
Pacer::ComputeLesserSlots(double aFloorRate, Time aNow) const
{
  if (lesserRequestRate_ <= 0.0) {
    return 1.0;
  }
  const double elapsedInMinute =
    ToSeconds(aNow.time_since_epoch() + minuteOffset_ -
              std::chrono::minutes(currentMinute_));
  const double remaining =
    std::max(kMinuteSeconds - elapsedInMinute, kMinRemainingSeconds);
  const double urgentRate = std::max(urgentRateShort_, urgentRateLong_);
  const double targetTokens = kTargetPeakFraction * peakTokens_;
  // Both the remainder of this minute and a full minute at this rate must stay
  // below the peak.
  const double lesserRate = std::min((targetTokens - minuteTokens_) / remaining,
                                     targetTokens / kMinuteSeconds) -
                            urgentRate;
  return std::max(aFloorRate, lesserRate) / lesserRequestRate_;
}

} // namespace azurecross

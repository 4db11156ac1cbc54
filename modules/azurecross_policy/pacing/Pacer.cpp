#include "Pacer.h"

#include <algorithm>
#include <cmath>

namespace azurecross {
namespace {

constexpr double kMinuteSeconds = 60.0;
/** Progress arrives in lumps every 250 ms, which this smooths. */
constexpr double kFastSeconds = 3.0;
constexpr double kSlowSeconds = 30.0;
constexpr double kUnitSeconds = 10.0;
/** The part of the paid minute that lesser work aims at. It can't be taken
 * back when urgent work rises, so some room stays free. */
constexpr double kAimedPart = 0.97;
/** The last seconds of a minute count as this many, because requests that
 * start now run on in the next minute. */
constexpr double kShortestRest = 15.0;

} // namespace

std::int64_t
Pacer::GetMinute(Time aNow) const
{
  return std::chrono::floor<std::chrono::minutes>(aNow.time_since_epoch() +
                                                  offset_)
    .count();
}

void
Pacer::RecordUsage(Rank aRank, double aTokens)
{
  pending_[static_cast<std::size_t>(aRank)] += aTokens;
}

void
Pacer::LoadPeak(double aTokensPerMinute)
{
  peak_ = std::max(peak_, aTokensPerMinute);
}

void
Pacer::StartBillingMonth()
{
  peak_ = 0.0;
}

void
Pacer::Tick(std::uint32_t aLesserRunning, Time aNow)
{
  const double elapsed = ToSeconds(aNow - lastTick_);
  const std::int64_t minute = GetMinute(aNow);
  if (minute != minute_) {
    minute_ = minute;
    usedInMinute_ = 0.0;
  }
  usedInMinute_ += pending_[0] + pending_[1];
  peak_ = std::max(peak_, usedInMinute_);
  if (hasTicked_ && elapsed > 0.0) {
    const double urgent = pending_[0] / elapsed;
    urgentFast_ +=
      -std::expm1(-elapsed / kFastSeconds) * (urgent - urgentFast_);
    urgentSlow_ +=
      -std::expm1(-elapsed / kSlowSeconds) * (urgent - urgentSlow_);
    if (aLesserRunning > 0) {
      const double unit = pending_[1] / elapsed / aLesserRunning;
      // The first samples are averaged; smoothing from 0 would give a rate
      // that is too low and let too many requests start.
      ++unitSamples_;
      const double weight =
        std::max(1.0 / unitSamples_, -std::expm1(-elapsed / kUnitSeconds));
      lesserUnit_ += weight * (unit - lesserUnit_);
    }
  }
  pending_ = {};
  lastTick_ = aNow;
  hasTicked_ = true;
}

double
Pacer::ComputeFloorSlots(double aFloorRate) const
{
  return lesserUnit_ > 0.0 ? aFloorRate / lesserUnit_ : 1.0;
}

double
Pacer::ComputeLesserSlots(double aFloorRate, Time aNow) const
{
  if (lesserUnit_ <= 0.0) {
    return 1.0;
  }
  const double intoMinute = ToSeconds(aNow.time_since_epoch() + offset_ -
                                      std::chrono::minutes(minute_));
  const double rest = std::max(kMinuteSeconds - intoMinute, kShortestRest);
  const double urgent = std::max(urgentFast_, urgentSlow_);
  const double aimed = kAimedPart * peak_;
  // Both the rest of this minute and a whole minute like this one must stay
  // under the peak.
  const double rate =
    std::min((aimed - usedInMinute_) / rest, aimed / kMinuteSeconds) - urgent;
  return std::max(aFloorRate, rate) / lesserUnit_;
}

} // namespace azurecross

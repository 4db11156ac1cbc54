#include "Workload.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace azurecross::bench {
namespace {

constexpr double kLongestOutput = 32'768.0;
constexpr double kLongestPrompt = 8'192.0;
/** Loads are relative to engines that run at this gap: the target of 37 ms
 * less a margin for steps with long prefills. */
constexpr double kCapacityGap = 0.033;
/** Share of memory that a perfect admission could use on average. */
constexpr double kCapacityMemory = 0.85;

double
DrawLogNormal(Random& aRandom, double aMedian, double aSigma)
{
  const double radius = std::sqrt(-2.0 * std::log1p(-aRandom.DrawUnit()));
  const double normal =
    radius * std::cos(2.0 * std::numbers::pi * aRandom.DrawUnit());
  return aMedian * std::exp(aSigma * normal);
}

std::uint32_t
DrawPrompt(Random& aRandom, const RouteProfile& aProfile)
{
  const double tokens =
    DrawLogNormal(aRandom, aProfile.promptMedian_, aProfile.promptSigma_);
  return aProfile.prefixTokens_ +
         static_cast<std::uint32_t>(std::clamp(tokens, 16.0, kLongestPrompt));
}

std::uint32_t
DrawOutput(Random& aRandom, const RouteProfile& aProfile)
{
  const bool isTail = aRandom.DrawUnit() < aProfile.tailShare_;
  const double tokens =
    isTail
      ? aProfile.tailStart_ *
          std::pow(1.0 - aRandom.DrawUnit(), -1.0 / aProfile.tailExponent_)
      : DrawLogNormal(aRandom, aProfile.outputMedian_, aProfile.outputSigma_);
  return static_cast<std::uint32_t>(std::clamp(tokens, 3.0, kLongestOutput));
}

Arrival
DrawRequest(Random& aRandom, const RouteProfile& aProfile, Rank aRank)
{
  Arrival arrival;
  arrival.rank_ = aRank;
  arrival.prompt_ = DrawPrompt(aRandom, aProfile);
  arrival.output_ = DrawOutput(aRandom, aProfile);
  if (aProfile.prefixes_ > 0) {
    // Low numbers are more popular.
    const double unit = aRandom.DrawUnit();
    arrival.prefix_ =
      1 + static_cast<std::uint64_t>(aProfile.prefixes_ * unit * unit);
    arrival.prefixTokens_ = aProfile.prefixTokens_;
  }
  arrival.deadline_ = FromSeconds(aProfile.deadlineSeconds_);
  return arrival;
}

/** Customer weights fall as 1 / (index + 1). */
std::uint32_t
DrawCustomer(Random& aRandom, std::uint32_t aCount)
{
  double total = 0.0;
  for (std::uint32_t index = 0; index < aCount; ++index) {
    total += 1.0 / (index + 1);
  }
  double left = aRandom.DrawUnit() * total;
  for (std::uint32_t index = 0; index < aCount; ++index) {
    left -= 1.0 / (index + 1);
    if (left < 0.0) {
      return index;
    }
  }
  return aCount - 1;
}

std::uint32_t
DrawZone(Random& aRandom, const std::vector<double>& aLoads)
{
  double total = 0.0;
  for (double load : aLoads) {
    total += load;
  }
  double left = aRandom.DrawUnit() * total;
  for (std::uint32_t zone = 0; zone < aLoads.size(); ++zone) {
    left -= aLoads[zone];
    if (left < 0.0) {
      return zone;
    }
  }
  return 0;
}

/** One stream of arrivals in one phase. */
enum class Source
{
  Urgent,
  Lesser,
  Large,
};

void
DrawPhase(const WorkloadOptions& aOptions,
          const LoadPhase& aPhase,
          Source aSource,
          double aRate,
          Random& aRandom,
          std::vector<Arrival>& aArrivals)
{
  if (aRate <= 0.0) {
    return;
  }
  const bool isLesser = aSource == Source::Lesser;
  const RouteProfile& profile = isLesser ? aOptions.lesser_ : aOptions.urgent_;
  double seconds = aPhase.startSeconds_ + aRandom.DrawExponential(1.0 / aRate);
  while (seconds < aPhase.endSeconds_) {
    Arrival arrival =
      DrawRequest(aRandom, profile, isLesser ? Rank::Lesser : Rank::Urgent);
    arrival.time_ = Time(FromSeconds(seconds));
    arrival.zone_ = DrawZone(aRandom, aOptions.zoneLoads_);
    arrival.entry_ =
      static_cast<std::uint32_t>(aRandom.DrawBelow(aOptions.entries_));
    if (aSource == Source::Large) {
      arrival.customer_ =
        aOptions.customers_ +
        static_cast<std::uint32_t>(aRandom.DrawBelow(aOptions.largeCustomers_));
      arrival.entry_ = aOptions.isLargeOnOneEntry_ ? 0 : arrival.entry_;
    } else {
      arrival.customer_ = DrawCustomer(aRandom, aOptions.customers_);
    }
    aArrivals.push_back(arrival);
    seconds += aRandom.DrawExponential(1.0 / aRate);
  }
}

} // namespace

ProfileMeans
MeasureProfile(const RouteProfile& aProfile)
{
  constexpr int kDraws = 200'000;
  Random random(1);
  double prompt = 0.0;
  double output = 0.0;
  double area = 0.0;
  for (int draw = 0; draw < kDraws; ++draw) {
    const double promptTokens = DrawPrompt(random, aProfile);
    const double outputTokens = DrawOutput(random, aProfile);
    prompt += promptTokens;
    output += outputTokens;
    area += outputTokens * (promptTokens + outputTokens / 2.0);
  }
  return { prompt / kDraws, output / kDraws, area / output };
}

double
ComputeCapacity(const std::vector<EngineParameters>& aEngines,
                const RouteProfile& aProfile)
{
  const ProfileMeans means = MeasureProfile(aProfile);
  double capacity = 0.0;
  for (const EngineParameters& engine : aEngines) {
    // A step of duration g serves n = rate * output * g requests and prefills
    // rate * prompt * g tokens; the rate follows from its cost being g.
    const auto computeRate = [&](double aGap) {
      const double perRequest =
        means.output_ * (engine.perRequestSeconds_ +
                         engine.perContextTokenSeconds_ * means.context_) +
        means.prompt_ * engine.perPrefillTokenSeconds_;
      return (aGap * engine.speed_ - engine.baseSeconds_) / (aGap * perRequest);
    };
    const double memoryBatch =
      kCapacityMemory * engine.memoryTokens_ / means.context_;
    double gap = kCapacityGap;
    // Shortens the step until its batch fits into memory.
    while (gap * engine.speed_ > engine.baseSeconds_ * 1.01 &&
           computeRate(gap) * means.output_ * gap > memoryBatch) {
      gap *= 0.99;
    }
    capacity += std::max(0.0, computeRate(gap));
  }
  return capacity;
}

std::vector<Arrival>
DrawArrivals(const WorkloadOptions& aOptions, std::uint64_t aSeed)
{
  const double urgent = ComputeCapacity(aOptions.engines_, aOptions.urgent_);
  const double lesser = ComputeCapacity(aOptions.engines_, aOptions.lesser_);
  std::vector<Arrival> arrivals;
  Random random(aSeed);
  for (const LoadPhase& phase : aOptions.phases_) {
    // Each stream has its own generator, so that leaving one out does not
    // change the others.
    Random urgentRandom(random.DrawBits());
    Random lesserRandom(random.DrawBits());
    Random largeRandom(random.DrawBits());
    DrawPhase(aOptions,
              phase,
              Source::Urgent,
              phase.urgent_ * urgent,
              urgentRandom,
              arrivals);
    DrawPhase(aOptions,
              phase,
              Source::Lesser,
              phase.lesser_ * lesser,
              lesserRandom,
              arrivals);
    DrawPhase(aOptions,
              phase,
              Source::Large,
              phase.large_ * urgent,
              largeRandom,
              arrivals);
  }
  std::sort(arrivals.begin(),
            arrivals.end(),
            [](const Arrival& aLeft, const Arrival& aRight) {
              return aLeft.time_ < aRight.time_;
            });
  return arrivals;
}

} // namespace azurecross::bench

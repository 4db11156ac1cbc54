#pragma once

#include "FakeEngine.h"

#include <azurecross_policy/azurecross_policy.h>

#include <cstdint>
#include <string>
#include <vector>

namespace azurecross::bench {

/** Prompt and output lengths of one kind of work. */
struct RouteProfile
{
  std::string name_;
  double promptMedian_ = 400.0;
  double promptSigma_ = 0.8;
  double outputMedian_ = 120.0;
  double outputSigma_ = 1.0;
  /** Share of outputs drawn from a Pareto tail, and where the tail starts. */
  double tailShare_ = 0.02;
  double tailStart_ = 1000.0;
  double tailExponent_ = 1.4;
  /** Shared prompt prefixes; 0 if prompts share nothing. */
  std::uint32_t prefixes_ = 0;
  std::uint32_t prefixTokens_ = 0;
  double deadlineSeconds_ = 10.0;
};

/** Load relative to the capacity for that rank's work alone. */
struct LoadPhase
{
  double startSeconds_ = 0.0;
  double endSeconds_ = 0.0;
  double urgent_ = 0.0;
  double lesser_ = 0.0;
  /** Load of the large customers, urgent work, on top of the others. */
  double large_ = 0.0;
};

/** One request of a run; the same for every policy. */
struct Arrival
{
  Time time_;
  Rank rank_ = Rank::Urgent;
  std::uint32_t customer_ = 0;
  std::uint32_t entry_ = 0;
  std::uint32_t zone_ = 0;
  std::uint32_t prompt_ = 0;
  std::uint32_t output_ = 0;
  std::uint64_t prefix_ = 0;
  std::uint32_t prefixTokens_ = 0;
  Duration deadline_{};
};

/** What a scenario's arrivals are drawn from. */
struct WorkloadOptions
{
  RouteProfile urgent_;
  RouteProfile lesser_;
  std::vector<LoadPhase> phases_;
  std::vector<EngineParameters> engines_;
  /** Load share of each zone relative to an even split. */
  std::vector<double> zoneLoads_ = { 1.0 };
  std::uint32_t customers_ = 8;
  std::uint32_t largeCustomers_ = 0;
  /** Whether large customers use one entry only. */
  bool isLargeOnOneEntry_ = false;
  std::uint32_t entries_ = 6;
};

/** Mean figures of a profile, from a fixed sample of draws. */
struct ProfileMeans
{
  double prompt_ = 0.0;
  double output_ = 0.0;
  /** Mean memory of a running generation. */
  double context_ = 0.0;
};

ProfileMeans
MeasureProfile(const RouteProfile& aProfile);

/**
 * The rate in requests per second that engines can serve at the target gap,
 * from their parameters and the mean lengths. The unit of all loads.
 */
double
ComputeCapacity(const std::vector<EngineParameters>& aEngines,
                const RouteProfile& aProfile);

/** Draws the arrivals of a run, in order of time. Large customers have the
 * numbers after the small ones. */
std::vector<Arrival>
DrawArrivals(const WorkloadOptions& aOptions, std::uint64_t aSeed);

} // namespace azurecross::bench

#pragma once

#include "BenchOptions.h"

#include <cstdint>
#include <vector>

namespace azurecross {

/** Where the caller connects in a phase. */
enum class Target
{
  /** To the engine source itself. */
  Direct,
  /** To the bare copy loop. */
  Floor,
  /** To the entry. */
  Entry,
};

/** What one or several phases with the same target measured. */
struct PhaseResult
{
  double cpuSeconds_ = 0;
  double seconds_ = 0;
  std::uint64_t tokens_ = 0;
  std::uint64_t lost_ = 0;
  std::uint64_t reordered_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t engineStalls_ = 0;
  /** Count of tokens by latency in microseconds. */
  std::vector<std::uint64_t> latencies_;

  void Add(const PhaseResult& aOther);
  double FindCpuMicrosecondsPerToken() const;
  /** @returns the latency that this share of tokens does not exceed. */
  double FindLatencyMicroseconds(double aShare) const;
};

/** Runs engine source, target and caller as processes and measures them. */
PhaseResult
RunPhase(Target aTarget, const BenchOptions& aOptions, double aSeconds);

} // namespace azurecross

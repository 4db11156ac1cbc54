#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <variant>

namespace azurecross {

/** The load of one run. */
struct BenchOptions
{
  unsigned streams_ = 2000;
  double tokensPerSecond_ = 34000;
  double seconds_ = 10;
  unsigned workers_ = 1;
  unsigned rounds_ = 2;
  bool isJson_ = false;

  /** Time at the start of a phase that is not measured. */
  static constexpr double kWarmUpSeconds = 1.5;

  /** @returns the tokens of each stream in a phase of this length. */
  std::uint64_t CountTokensPerStream(double aSeconds) const
  {
    return static_cast<std::uint64_t>((aSeconds + kWarmUpSeconds + 1) *
                                      tokensPerSecond_ / streams_);
  }
};

/** @returns the options, or the text and status to exit with. */
std::variant<BenchOptions, SettingsExit>
ReadBenchOptions(int aCount, const char* const* aArguments);

} // namespace azurecross

#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstddef>
#include <cstdint>

namespace azurecross {

/** Settings of an `Arbiter`; the defaults suit both kinds of pool. */
struct ArbiterOptions
{
  /** Share of capacity that lesser work keeps in an urgent flood. */
  double lesserFloor_ = 0.1;
  /** Bound on queued requests of each rank. */
  std::size_t queueLimit_ = 4096;
  /** Target for the gap between two tokens of a stream. */
  Duration targetGap_ = std::chrono::milliseconds(37);
  /** Cost of a prompt token relative to an output token. */
  double promptWeight_ = 0.1;
  /** Whether lesser work stays under the minute already paid for. */
  bool isPaced_ = false;
  /** Added to the time, so that minutes begin when the supplier's do. */
  Duration minuteOffset_{};
  /**
   * How many random backend servers are considered for each request; 0 is all
   * of them. With 2 or more the arbiter counts requests of other entries from
   * load reports, so that entries can work without a home entry.
   */
  std::size_t placementChoices_ = 0;
  /**
   * Seeds all random choices and the upper half of grant ids. Each home entry
   * of a group must use another seed, so that grant ids never repeat.
   */
  std::uint64_t seed_ = 1;
};

} // namespace azurecross

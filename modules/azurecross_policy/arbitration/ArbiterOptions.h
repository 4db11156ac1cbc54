#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstddef>
#include <cstdint>

namespace azurecross {

/** Settings of an `Arbiter`; the defaults suit engines and plain services. */
struct ArbiterOptions
{
  /** Minimum share of the capacity for lesser work while urgent work is queued.
   */
  double lesserFloor_ = 0.1;
  /** Maximum number of queued requests per model and rank. */
  std::size_t queueLimit_ = 4096;
  /** Target for the time between two tokens of a stream. */
  Duration targetGap_ = std::chrono::milliseconds(37);
  /** Cost of a prompt token relative to an output token. */
  double promptWeight_ = 0.1;
  /** Whether lesser work is limited so that no minute exceeds the busiest
   * minute that is already paid for. */
  bool isPaced_ = false;
  /** Added to the time to align minutes with the supplier's billing minutes. */
  Duration minuteOffset_{};
  /**
   * Number of randomly drawn backend servers considered for each request; 0
   * considers all of them. With any other value the arbiter counts requests of
   * other entries from load reports, so that entries can work without a home
   * entry.
   */
  std::size_t placementChoices_ = 0;
  /**
   * Seed of all random choices and of the upper half of grant ids. Each home
   * entry of a group must use a different seed to keep grant ids unique.
   */
  std::uint64_t seed_ = 1;
};

} // namespace azurecross

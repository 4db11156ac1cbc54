#pragma once

#include <azurecross_core/azurecross_core.h>

#include <array>
#include <cstdint>

namespace azurecross {

/** The state of an arbitration group that other zones need for spill-over. */
struct GroupSummary
{
  /** Queued requests by rank. */
  std::array<std::uint32_t, kRankCount> queued_{};
  std::array<std::uint32_t, kRankCount> running_{};
  /** Slots that the admission limits allow at present. */
  std::uint32_t slots_ = 0;
  /** Running and queued requests divided by slots; above 1 if work waits. */
  double saturation_ = 0.0;
};

} // namespace azurecross

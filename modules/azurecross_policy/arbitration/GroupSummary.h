#pragma once

#include <azurecross_core/azurecross_core.h>

#include <array>
#include <cstdint>

namespace azurecross {

/** Load of an arbitration group, published to other availability zones for
 * spill-over. */
struct GroupSummary
{
  /** Queued requests by rank. */
  std::array<std::uint32_t, kRankCount> queued_{};
  std::array<std::uint32_t, kRankCount> running_{};
  /** Slots under the present admission limits. */
  std::uint32_t slots_ = 0;
  /** Running and queued requests divided by slots; above 1 if work waits. */
  double saturation_ = 0.0;
};

} // namespace azurecross

#pragma once

#include <azurecross_core/azurecross_core.h>
#include <azurecross_policy/azurecross_policy.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace azurecross {

/** What the control thread of one entry is started with. */
struct ControlSettings
{
  EntryId entryId_;
  AvailabilityZone availabilityZone_;
  /** Relative size of this VM among the entries. */
  double weight_ = 1.0;
  SocketAddress peerListen_;
  /** Where other entries reach the peer port; port 0 takes the bound one. */
  SocketAddress peerAddress_;
  std::vector<SocketAddress> seedPeers_;
  std::vector<SocketAddress> store_;
  std::optional<SocketAddress> vmList_;
  ArbiterOptions arbiter_;
  Duration loadPollInterval_ = std::chrono::seconds(1);
  Duration vmListInterval_ = std::chrono::seconds(2);
  Duration operationRetention_ = std::chrono::hours(24);
  std::size_t operationMemoryBytes_ = std::size_t{ 64 } << 20;
};

} // namespace azurecross

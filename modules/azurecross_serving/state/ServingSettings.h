#pragma once

#include <azurecross_dispatch/azurecross_dispatch.h>

#include <cstdint>
#include <string>

namespace azurecross {

/** What one daemon is told at its start. */
struct ServingSettings
{
  std::string entryId_;
  AvailabilityZone zone_;
  SocketAddress listen_;
  SocketAddress readinessListen_;
  /** The path under which the load balancer asks for readiness. */
  std::string readinessPath_ = "/readyz";
  SocketAddress metricsListen_;
  /** Where reports of other daemons arrive, over UDP. */
  SocketAddress peerListen_;
  /** File descriptors that sockets may take. */
  std::size_t descriptorLimit_ = 3000;
  /** A key that was removed may be used for this long at most. */
  Duration maxKeyRevocationDelay_ = std::chrono::seconds(5);
  /** From SIGTERM to SIGKILL. */
  Duration shutdownGracePeriod_ = std::chrono::seconds(8);
  RetryAllowance::Bounds retryBounds_;
};

} // namespace azurecross

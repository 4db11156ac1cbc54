#pragma once

#include <azurecross_dispatch/azurecross_dispatch.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace azurecross {

/** The largest number of requests that all daemons together send to a cold
 * server in any second: a factor of the rate that its pool names, plus a
 * number. */
struct WarmUpBound
{
  double factor_ = 1.0;
  double slack_ = 0.0;
};

/** The settings of one entry daemon. */
struct ServingSettings
{
  std::string entryId_;
  AvailabilityZone zone_;
  /** The address for requests of customers. */
  SocketAddress listen_;
  SocketAddress readinessListen_;
  /** The path of the load balancer's readiness checks. */
  std::string readinessPath_ = "/readyz";
  SocketAddress metricsListen_;
  /** The address for other daemons: load reports over UDP and the state feed
   * over HTTP. */
  SocketAddress peerListen_;
  /** How many ports, from that of `peerListen_` on, can be used instead. */
  std::uint16_t peerPortCount_ = 1;
  /** The number of file descriptors available to sockets. */
  std::size_t descriptorLimit_ = 3000;
  /** Memory that the process may use. */
  std::size_t memoryLimitBytes_ = std::size_t{ 256 } << 20;
  /** Capacity of the VM's network link; 0 if unknown. */
  std::uint32_t linkMbps_ = 0;
  /** Longest time for which a removed API key may still be accepted. */
  Duration maxKeyRevocationDelay_ = std::chrono::seconds(5);
  /** Whether the tables have to list the customers: tables without the list
   * are rejected instead of accepting requests without an API key. */
  bool requiresCustomers_ = false;
  /** Time between SIGTERM and SIGKILL. */
  Duration shutdownGracePeriod_ = std::chrono::seconds(8);
  /** Shortest time from SIGTERM to the end of a shutdown. The load balancer
   * checks the readiness every second and removes a daemon after two failed
   * checks; requests keep arriving until then. */
  Duration minShutdownTime_ = std::chrono::milliseconds(3500);
  RetryAllowance::Bounds retryBounds_;
  /** Set if the number of requests to cold servers is limited. */
  std::optional<WarmUpBound> warmUpBound_;
  /** What is never quarantined. */
  std::set<Fingerprint> exemptFingerprints_;
};

} // namespace azurecross

#pragma once

#include "../limits/ServerLimiter.h"
#include "../quarantine/Fingerprint.h"
#include "ServerLoadTracker.h"

#include <azurecross_core/azurecross_core.h>

#include <optional>
#include <vector>

namespace azurecross {

/** A request for which a backend server is to be chosen. */
struct PlacementRequest
{
  PoolName pool_;
  RouteName route_;
  CustomerId customer_;
  CallKind kind_ = CallKind::NonIdempotentCall;
  GenerationDemand demand_;
  /** What in the request may be in quarantine. */
  std::vector<Fingerprint> fingerprints_;
  /** Output tokens produced so far by a run that moves; 0 for a new run. */
  std::uint32_t outputTokens_ = 0;
  /** Time left until the answer or first event is late; negative if late. */
  Duration timeToTarget_{};
  std::vector<BackendServerId> excludedServers_;
  /** The longest gap between events that isn't late; 0 if any gap is. */
  Duration gapTarget_{};
  /** Whether a plain call may wait in the queue of a server whose slots are all
   * taken, if it is expected to be answered in time. */
  bool mayQueueAtServer_ = false;
  /** Whether the rank of the request among those of all daemons depends on what
   * a delay costs its caller, instead of the priority alone. */
  bool isRankedByCost_ = false;
  /** The preferred zone; if empty, the zone of this daemon. */
  AvailabilityZone preferredZone_;
  /** The longest usable wait for a permit of a server that limits its rate. */
  Duration maxPermitWait_{};
  /** Whether a further permit may be requested. */
  bool mayRequestPermit_ = true;
};

/** The chosen backend server with the figures behind the choice. */
struct PlacementChoice
{
  BackendServerId server_;
  SocketAddress address_;
  double cost_ = 0.0;
  /** Expected time to the first event or the answer. */
  double expectedSeconds_ = 0.0;
  /** Expected longest gap between events; 0 if it is unknown. */
  double expectedGapSeconds_ = 0.0;
  /** Used share of the server's memory or slots, the request included. */
  double loadShare_ = 0.0;
  std::uint32_t runs_ = 0;
  AvailabilityZone zone_;
  /** Set if the server limits its rate and the permit for it is not available
   * yet: the longest wait for it that is better than the other servers. */
  std::optional<Duration> awaitedPermit_;
};

/**
 * Chooses the backend server of a request.
 *
 * Generations are spread evenly over the memory of the engines, which limits
 * how many are interrupted when one engine is lost. The daemon's own
 * availability zone is preferred unless its engines are much fuller, because a
 * partition between zones interrupts the streams that cross it.
 *
 * Many daemons decide on load data that is a few hundred milliseconds old. Each
 * adds a random part to the costs, which grows with the number of daemons, so
 * that they don't all choose the same server.
 *
 * Where demand is near the capacity of engines of different speed, long streams
 * avoid the engines whose gaps may exceed the target, and short ones leave the
 * other engines to them.
 *
 * Load data about plain services is older than their calls. Where the tables
 * allow it, a call is therefore sent to a server that looks full as long as it
 * is expected to be answered in time.
 *
 * A server that limits its rate competes with the others at its usual cost and
 * the wait for its next permit, and is left out while there is none.
 */
class ServerPlacement
{
public:
  ServerPlacement(AvailabilityZone aZone, std::uint64_t aSeed)
    : zone_(std::move(aZone))
    , random_(aSeed)
  {
  }

  /** @returns the server with the lowest cost among those with free capacity,
   * or nothing if there is none. */
  std::optional<PlacementChoice> Choose(const ServerLoadTracker& aLoadTracker,
                                        const ServerLimiter& aLimiter,
                                        const PlacementRequest& aRequest,
                                        Time aNow);

private:
  bool IsUsable(const ServerLoad& aServer,
                const PlacementRequest& aRequest,
                Time aNow) const;
  /** @param aPermitWait the wait for the permit of a limited server. */
  std::optional<PlacementChoice> RateEngine(
    const ServerLoadTracker& aLoadTracker,
    const ServerLoad& aServer,
    const PlacementRequest& aRequest,
    Duration aPermitWait,
    Time aNow) const;
  /** @returns the cost of gaps that are longer than their target.
   * @param aGapSeconds the expected longest gap; 0 if it is unknown.
   * @param aOutput expected remaining output tokens. */
  double ComputeStallCost(const EngineTraits& aEngine,
                          const PlacementRequest& aRequest,
                          double aGapSeconds,
                          double aOutput) const;
  std::optional<PlacementChoice> RateService(const ServerLoad& aServer,
                                             const PlacementRequest& aRequest,
                                             Duration aPermitWait) const;
  std::optional<PlacementChoice> RateServer(
    const ServerLoadTracker& aLoadTracker,
    const ServerLimiter& aLimiter,
    const ServerLoad& aServer,
    const PlacementRequest& aRequest,
    Time aNow) const;
  /** @param aSpread the largest random part of a cost. */
  double ComputePenalty(const ServerLoadTracker& aLoadTracker,
                        const ServerLoad& aServer,
                        const PlacementRequest& aRequest,
                        double aSpread,
                        Time aNow) const;

  AvailabilityZone zone_;
  Random random_;
};

} // namespace azurecross

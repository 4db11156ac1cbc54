#pragma once

#include "ServerLoadTracker.h"

#include <azurecross_core/azurecross_core.h>

#include <optional>
#include <vector>

namespace azurecross {

/** A request that needs a backend server now. */
struct PlacementRequest
{
  PoolName pool_;
  RouteName route_;
  CustomerId customer_;
  CallKind kind_ = CallKind::NonIdempotentCall;
  GenerationDemand demand_;
  /** Output tokens made so far, for a run that moves. */
  std::uint32_t outputTokens_ = 0;
  /** Time left until the answer or first event is late; negative if it is. */
  Duration timeToTarget_{};
  std::vector<BackendServerId> excludedServers_;
  /** The zone to prefer; this daemon's own if it is empty. */
  AvailabilityZone preferredZone_;
};

/** The chosen backend server and why. */
struct PlacementChoice
{
  BackendServerId server_;
  SocketAddress address_;
  double cost_ = 0.0;
  /** Expected time to the first event or the answer. */
  double expectedSeconds_ = 0.0;
  /** Share of the server's memory in use with the request, or of its slots. */
  double loadShare_ = 0.0;
  std::uint32_t runs_ = 0;
};

/**
 * Chooses the backend server of a request.
 *
 * Generations are spread evenly over the engines' memory: what one engine
 * holds is also what its loss breaks off. The own availability zone is
 * preferred as long as its engines are not much fuller, because a partition
 * between zones breaks streams that cross it.
 *
 * Many daemons decide on loads that are some hundred milliseconds old. Each
 * adds a random part to the costs, the larger the more daemons there are, so
 * that they do not all choose the server that looked best.
 */
class ServerPlacement
{
public:
  ServerPlacement(AvailabilityZone aZone, std::uint64_t aSeed)
    : zone_(std::move(aZone))
    , random_(aSeed)
  {
  }

  /** @returns the best server that has room, or nothing. */
  std::optional<PlacementChoice> Choose(const ServerLoadTracker& aLoadTracker,
                                        const PlacementRequest& aRequest,
                                        Time aNow);

private:
  bool IsUsable(const ServerLoad& aServer,
                const PlacementRequest& aRequest) const;
  std::optional<PlacementChoice> RateEngine(
    const ServerLoadTracker& aLoadTracker,
    const ServerLoad& aServer,
    const PlacementRequest& aRequest,
    Time aNow) const;
  std::optional<PlacementChoice> RateService(const ServerLoad& aServer) const;
  double ComputePenalty(const ServerLoadTracker& aLoadTracker,
                        const ServerLoad& aServer,
                        const PlacementRequest& aRequest,
                        Time aNow) const;

  AvailabilityZone zone_;
  Random random_;
};

} // namespace azurecross

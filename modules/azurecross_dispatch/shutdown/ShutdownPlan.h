#pragma once

#include "../placement/ServerLoadTracker.h"
#include "../tables/ServingTables.h"

namespace azurecross {

/** What the decision about a request during a shutdown depends on. */
struct ShutdownCandidate
{
  const ServingRoute& route_;
  const GenerationDemand& demand_;
  /** The earlier of the deadlines of the caller and the route. */
  Time deadline_;
};

/**
 * Decides which requests a daemon accepts during a graceful shutdown. A request
 * that outlasts the shutdown is cut off, and another daemon can serve it to the
 * end.
 *
 * Only the deadline bounds the duration of a request: the speed of engines
 * differs, and a length limit can be missing. An estimate is accepted in its
 * place as long as the load balancer still sends new callers here, because they
 * cannot know of the shutdown.
 */
class ShutdownPlan
{
public:
  /** @param aEnd when accepted requests have to be complete. */
  ShutdownPlan(Time aBegin, Time aEnd)
    : begin_(aBegin)
    , end_(aEnd)
  {
  }

  Time GetBegin() const { return begin_; }
  Time GetEnd() const { return end_; }

  /** @returns whether a request that has not been sent to a backend server yet
   * may still be sent. */
  bool Allows(const ShutdownCandidate& aRequest, Time aNow) const;

private:
  Time begin_;
  Time end_;
};

} // namespace azurecross

#pragma once

#include "../servers/ServerDirectory.h"

#include <azurecross_core/azurecross_core.h>

#include <map>

namespace azurecross {

/** The answer to a request for a permit. */
struct PermitDecision
{
  bool isGranted_ = false;
  /** Time until the permit may be used; if it was denied, the time after which
   * one is expected to be free. */
  Duration wait_{};
};

/**
 * Paces the requests to servers that limit their rate. Each permit takes the
 * next free slot of its server; slots are one period of the limit apart, and a
 * small number of unused ones is kept for a burst.
 */
class PermitIssuer
{
public:
  /** Time for which unused slots are kept. */
  static constexpr Duration kBurstTime = std::chrono::milliseconds(250);

  /** Takes the next slot if it begins soon enough.
   * @param aRequestsPerSecond the rate of the slots, above 0.
   * @param aMaxWait the longest time that the request can wait. */
  PermitDecision Issue(const BackendServerId& aServer,
                       double aRequestsPerSecond,
                       Duration aMaxWait,
                       Time aNow);
  /** Takes the next slot if it is free now and no request of a much better rank
   * has been denied one lately. The daemons ask again as soon as the slot is
   * free, so that the best rank among all of them gets it.
   * @param aRank the rank of the request; the lowest is served first. */
  PermitDecision IssueByRank(const BackendServerId& aServer,
                             double aRequestsPerSecond,
                             int aRank,
                             Time aNow);
  /** Takes slots for requests that were sent without a permit. */
  void Charge(const BackendServerId& aServer,
              double aRequestsPerSecond,
              unsigned aCount,
              Time aNow);
  /** Makes the slot of an unused permit available again. */
  void Return(const BackendServerId& aServer, double aRequestsPerSecond);
  /** Forgets servers whose slots are all free. */
  void Tick(Time aNow);

private:
  /** The best rank that was denied a slot. */
  struct RankedDemand
  {
    int rank_ = 0;
    /** Until when the slot is kept for it. */
    Time until_;
    /** Until when a request of a much worse rank is expected to ask again. */
    Time lesserUntil_;
    int lesserRank_ = 0;
    /** Consecutive slots that such requests have not got. */
    unsigned passedSlots_ = 0;
  };

  /** @returns the start of the next slot. */
  Time& FindNextSlot(const BackendServerId& aServer, Time aNow);

  /** The start of the next free slot; in the past while slots are unused. */
  std::map<BackendServerId, Time> nextSlots_;
  std::map<BackendServerId, RankedDemand> demands_;
};

} // namespace azurecross

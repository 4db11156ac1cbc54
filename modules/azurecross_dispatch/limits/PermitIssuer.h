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
  /** @returns the start of the next slot. */
  Time& FindNextSlot(const BackendServerId& aServer, Time aNow);

  /** The start of the next free slot; in the past while slots are unused. */
  std::map<BackendServerId, Time> nextSlots_;
};

} // namespace azurecross

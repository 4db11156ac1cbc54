#include "PermitIssuer.h"

#include <algorithm>

namespace azurecross {

namespace {

/** Requests without a permit delay later ones by no more than this. */
constexpr Duration kMaxDebtTime = std::chrono::seconds(8);
/** A server without requests for this long starts anew. */
constexpr Duration kIdleTime = std::chrono::seconds(10);

} // namespace

Time&
PermitIssuer::FindNextSlot(const BackendServerId& aServer, Time aNow)
{
  Time& nextSlot = nextSlots_.try_emplace(aServer, aNow).first->second;
  nextSlot = std::max(nextSlot, aNow - kBurstTime);
  return nextSlot;
}

PermitDecision
PermitIssuer::Issue(const BackendServerId& aServer,
                    double aRequestsPerSecond,
                    Duration aMaxWait,
                    Time aNow)
{
  Time& nextSlot = FindNextSlot(aServer, aNow);
  const Duration wait = std::max(nextSlot - aNow, Duration::zero());
  if (wait > aMaxWait) {
    return { false, wait };
  }
  nextSlot += FromSeconds(1.0 / aRequestsPerSecond);
  return { true, wait };
}

void
PermitIssuer::Charge(const BackendServerId& aServer,
                     double aRequestsPerSecond,
                     unsigned aCount,
                     Time aNow)
{
  Time& nextSlot = FindNextSlot(aServer, aNow);
  nextSlot = std::min(nextSlot + FromSeconds(aCount / aRequestsPerSecond),
                      std::max(nextSlot, aNow + kMaxDebtTime));
}

void
PermitIssuer::Return(const BackendServerId& aServer, double aRequestsPerSecond)
{
  const auto found = nextSlots_.find(aServer);
  if (found != nextSlots_.end()) {
    found->second -= FromSeconds(1.0 / aRequestsPerSecond);
  }
}

void
PermitIssuer::Tick(Time aNow)
{
  std::erase_if(nextSlots_, [&](const auto& aEntry) {
    return aNow - aEntry.second > kIdleTime;
  });
}

} // namespace azurecross

#include "PermitIssuer.h"

#include <algorithm>

namespace azurecross {

namespace {

/** Requests without a permit delay later ones by no more than this. */
constexpr Duration kMaxDebtTime = std::chrono::seconds(8);
/** Time for which a free slot is kept for a request that was denied one. Its
 * daemon asks again within two ticks of its dispatcher. */
constexpr Duration kReservationTime = std::chrono::milliseconds(60);
/** A slot is only kept for a request whose rank is better by this. Less isn't
 * worth the time for which the engine stands idle. */
constexpr int kReservationMargin = 50;
/** Every tenth slot is kept for requests of a much worse rank, so that lesser
 * work goes on under a flood of urgent work. */
constexpr unsigned kMaxPassedSlots = 9;
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

PermitDecision
PermitIssuer::IssueByRank(const BackendServerId& aServer,
                          double aRequestsPerSecond,
                          int aRank,
                          Time aNow)
{
  RankedDemand& demand = demands_[aServer];
  const bool isLesser =
    aNow < demand.until_ && demand.rank_ + kReservationMargin <= aRank;
  const bool isLesserTurn =
    demand.passedSlots_ >= kMaxPassedSlots && aNow < demand.lesserUntil_;
  const bool isKeptForBest = isLesser && !isLesserTurn;
  const bool isKeptForLesser = isLesserTurn && aRank < demand.lesserRank_;
  const bool isFree = FindNextSlot(aServer, aNow) <= aNow;
  PermitDecision decision;
  if (isFree && (isKeptForBest || isKeptForLesser)) {
    decision.wait_ = (isLesser ? demand.until_ : demand.lesserUntil_) - aNow;
  } else {
    decision = Issue(aServer, aRequestsPerSecond, Duration::zero(), aNow);
  }
  if (decision.isGranted_) {
    const bool isPassedOver = !isLesser && aNow < demand.lesserUntil_;
    demand.passedSlots_ = isPassedOver ? demand.passedSlots_ + 1 : 0;
    demand.until_ = aNow;
    return decision;
  }
  const Time expectedAt = aNow + decision.wait_ + kReservationTime;
  if (isLesser) {
    demand.lesserUntil_ = expectedAt;
    demand.lesserRank_ = aRank;
  } else if (aNow >= demand.until_ || aRank <= demand.rank_) {
    demand.rank_ = aRank;
    demand.until_ = expectedAt;
  }
  return decision;
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
  std::erase_if(demands_, [&](const auto& aEntry) {
    return aNow - aEntry.second.until_ > kIdleTime;
  });
}

} // namespace azurecross

#include "HealthTracker.h"

#include <algorithm>
#include <cmath>

namespace azurecross {
namespace {

/** Ratio of the recent to the baseline token gap above which a
 * backend server counts as slow. Admission keeps gaps within about half of
 * their mean, so a gap of twice the baseline is caused by the engine
 * and not by its load. */
constexpr double kSlowGapRatio = 2.0;
/** Time constants for smoothing the recent and the baseline gap. */
constexpr double kRecentGapSeconds = 0.7;
constexpr double kBaselineGapSeconds = 60.0;
/** Number of samples before the baseline gap is reliable. */
constexpr std::uint32_t kMinBaselineSamples = 50;
/** Time without progress after which a server that generates tokens counts as
 * stalled. Progress is reported every 250 ms, so this tolerates the loss of
 * several reports. */
constexpr Duration kStallTimeout = std::chrono::milliseconds(1500);
/** Stall timeout while no request has its first token, which may take this long
 * for a long prompt. */
constexpr Duration kFirstTokenStallTimeout = std::chrono::seconds(6);
constexpr Duration kMinReadmissionDelay = std::chrono::seconds(2);
constexpr std::uint32_t kMaxDelayDoublings = 5;
constexpr Duration kLimitRaiseInterval = std::chrono::seconds(1);
/** Readmission limit from which the server counts as fully readmitted. */
constexpr std::uint32_t kUnlimitedThreshold = 256;
/** Healthy time after which the ejection count decreases by one. */
constexpr Duration kEjectionDecayInterval = std::chrono::minutes(2);
/** Batch size at which the token gap is about twice that of a single
 * request. Normalizes gaps that were measured at different loads. */
constexpr double kGapDoublingBatchSize = 40.0;
/** At most one in this many usable servers is ejected. */
constexpr std::size_t kMaxEjectedDivisor = 3;

} // namespace

void
HealthTracker::SetServerCounts(std::size_t aKnown, std::size_t aUsable)
{
  servers_.resize(std::max(aKnown, servers_.size()));
  usableServers_ = aUsable;
}

void
HealthTracker::ObserveFirstRequest(ServerIndex aServer, Time aNow)
{
  servers_[aServer].lastProgressAt_ = aNow;
}

void
HealthTracker::ObserveProgress(ServerIndex aServer, Time aNow)
{
  servers_[aServer].lastProgressAt_ = aNow;
  servers_[aServer].isUnreachable_ = false;
}

void
HealthTracker::ObserveTokenGap(ServerIndex aServer,
                               Duration aGap,
                               std::uint32_t aRunning,
                               Time aNow)
{
  ServerHealth& health = servers_[aServer];
  ObserveProgress(aServer, aNow);
  const double normalizedGap =
    ToSeconds(aGap) / (1.0 + aRunning / kGapDoublingBatchSize);
  if (health.gapSamples_ == 0) {
    health.recentGapSeconds_ = normalizedGap;
    health.baselineGapSeconds_ = normalizedGap;
  }
  const double elapsed = ToSeconds(aNow - health.lastGapAt_);
  // The samples of one report share a timestamp. A minimum step gives each of
  // them some weight.
  const double step = std::max(elapsed, 0.002);
  health.recentGapSeconds_ += -std::expm1(-step / kRecentGapSeconds) *
                              (normalizedGap - health.recentGapSeconds_);
  health.lastGapAt_ = aNow;
  if (health.gapSamples_ < kMinBaselineSamples) {
    ++health.gapSamples_;
    health.baselineGapSeconds_ +=
      (normalizedGap - health.baselineGapSeconds_) / health.gapSamples_;
  } else if (!health.isEjected_ &&
             health.recentGapSeconds_ <
               kSlowGapRatio * health.baselineGapSeconds_) {
    // Gaps of a failing engine are excluded, so that slowness doesn't become
    // the baseline.
    health.baselineGapSeconds_ += -std::expm1(-step / kBaselineGapSeconds) *
                                  (normalizedGap - health.baselineGapSeconds_);
  }
}

void
HealthTracker::ObserveUnreachable(ServerIndex aServer, Time /*aNow*/)
{
  servers_[aServer].isUnreachable_ = true;
}

void
HealthTracker::SetRunning(ServerIndex aServer,
                          std::uint32_t aRunning,
                          std::uint32_t aDecoding)
{
  servers_[aServer].runningRequests_ = aRunning;
  servers_[aServer].decodingRequests_ = aDecoding;
}

bool
HealthTracker::IsFailing(const ServerHealth& aHealth, Time aNow) const
{
  if (aHealth.isUnreachable_) {
    return true;
  }
  const Duration sinceProgress = aNow - aHealth.lastProgressAt_;
  if (aHealth.runningRequests_ > 0 &&
      sinceProgress > (aHealth.decodingRequests_ > 0
                         ? kStallTimeout
                         : kFirstTokenStallTimeout)) {
    return true;
  }
  const bool isRecent = aNow - aHealth.lastGapAt_ < kStallTimeout;
  return isRecent && aHealth.gapSamples_ >= kMinBaselineSamples &&
         aHealth.recentGapSeconds_ >
           kSlowGapRatio * aHealth.baselineGapSeconds_;
}

void
HealthTracker::Eject(ServerHealth& aHealth, Time aNow) const
{
  aHealth.isEjected_ = true;
  aHealth.isSuspect_ = false;
  aHealth.ejectedAt_ = aNow;
  aHealth.recentEjections_ =
    std::min(aHealth.recentEjections_ + 1, kMaxDelayDoublings);
}

bool
HealthTracker::CanReadmit(const ServerHealth& aHealth, Time aNow) const
{
  const Duration delay =
    kMinReadmissionDelay * (1U << (aHealth.recentEjections_ - 1));
  if (aNow - aHealth.ejectedAt_ < delay) {
    return false;
  }
  // The gaps of requests that still run show whether the server has
  // recovered.
  ServerHealth reachable = aHealth;
  reachable.isUnreachable_ = false;
  return aHealth.runningRequests_ == 0 || !IsFailing(reachable, aNow);
}

void
HealthTracker::UpdateRecovery(ServerHealth& aHealth, Time aNow) const
{
  if (aHealth.readmissionLimit_ != UINT32_MAX) {
    if (aNow - aHealth.limitRaisedAt_ >= kLimitRaiseInterval) {
      aHealth.limitRaisedAt_ = aNow;
      aHealth.readmissionLimit_ *= 2;
      if (aHealth.readmissionLimit_ >= kUnlimitedThreshold) {
        aHealth.readmissionLimit_ = UINT32_MAX;
      }
    }
    return;
  }
  if (aHealth.recentEjections_ > 0 &&
      aNow - aHealth.ejectedAt_ > kEjectionDecayInterval) {
    --aHealth.recentEjections_;
    aHealth.ejectedAt_ = aNow;
  }
}

void
HealthTracker::Tick(Time aNow, std::vector<Change>& aChanges)
{
  for (ServerIndex index = 0; index < servers_.size(); ++index) {
    ServerHealth& health = servers_[index];
    if (health.isEjected_) {
      if (CanReadmit(health, aNow)) {
        health.isEjected_ = false;
        health.isUnreachable_ = false;
        health.readmissionLimit_ = 1;
        health.limitRaisedAt_ = aNow;
        health.lastProgressAt_ = aNow;
        // Gaps from before the ejection would eject the server again before new
        // ones are measured.
        health.recentGapSeconds_ = health.baselineGapSeconds_;
        --ejectedServers_;
        aChanges.push_back({ index, false });
      }
      continue;
    }
    if (!IsFailing(health, aNow)) {
      health.isSuspect_ = false;
      UpdateRecovery(health, aNow);
      continue;
    }
    if ((ejectedServers_ + 1) * kMaxEjectedDivisor > usableServers_) {
      health.isSuspect_ = true;
      continue;
    }
    Eject(health, aNow);
    ++ejectedServers_;
    aChanges.push_back({ index, true });
  }
}

} // namespace azurecross

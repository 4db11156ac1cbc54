#include "HealthTracker.h"

#include <algorithm>
#include <cmath>

namespace azurecross {
namespace {

/** Slow means gaps this many times the usual ones. Admission keeps gaps
 * within about half of their mean, so twice the usual gap is a change of the
 * engine and not of its load. */
constexpr double kSlowFactor = 2.0;
/** Time constants of the recent and of the usual gap. */
constexpr double kRecentSeconds = 0.7;
constexpr double kUsualSeconds = 60.0;
/** Samples before the usual gap means anything. */
constexpr std::uint32_t kFirstSamples = 50;
/** Progress is reported every 250 ms, so this is several lost reports. */
constexpr Duration kStall = std::chrono::milliseconds(1500);
/** A long prompt may need this long before the first token. */
constexpr Duration kFirstTokenStall = std::chrono::seconds(6);
constexpr Duration kShortestPause = std::chrono::seconds(2);
constexpr std::uint32_t kMaximumDoublings = 5;
constexpr Duration kAllowanceInterval = std::chrono::seconds(1);
constexpr std::uint32_t kFullAllowance = 256;
/** Ejections are forgotten one by one after this long in good health. */
constexpr Duration kForgiveInterval = std::chrono::minutes(2);
/** The gap of a batch of this size is about twice that of a single request;
 * used to compare gaps at different loads. */
constexpr double kDoublingBatch = 40.0;
constexpr std::size_t kEjectableDivisor = 3;

} // namespace

void
HealthTracker::SetServerCounts(std::size_t aKnown, std::size_t aUsable)
{
  states_.resize(std::max(aKnown, states_.size()));
  usable_ = aUsable;
}

void
HealthTracker::ObserveFirstRequest(Index aServer, Time aNow)
{
  states_[aServer].lastProgress_ = aNow;
}

void
HealthTracker::ObserveProgress(Index aServer, Time aNow)
{
  states_[aServer].lastProgress_ = aNow;
  states_[aServer].isUnreachable_ = false;
}

void
HealthTracker::ObserveTokenGap(Index aServer,
                               Duration aGap,
                               std::uint32_t aRunning,
                               Time aNow)
{
  State& state = states_[aServer];
  ObserveProgress(aServer, aNow);
  const double gap = ToSeconds(aGap) / (1.0 + aRunning / kDoublingBatch);
  if (state.samples_ == 0) {
    state.recentGap_ = gap;
    state.usualGap_ = gap;
  }
  const double elapsed = ToSeconds(aNow - state.lastSample_);
  // Samples of one report arrive together; each still counts a little.
  const double step = std::max(elapsed, 0.002);
  state.recentGap_ +=
    -std::expm1(-step / kRecentSeconds) * (gap - state.recentGap_);
  state.lastSample_ = aNow;
  if (state.samples_ < kFirstSamples) {
    ++state.samples_;
    state.usualGap_ += (gap - state.usualGap_) / state.samples_;
  } else if (!state.isEjected_ &&
             state.recentGap_ < kSlowFactor * state.usualGap_) {
    // A failing engine must not become its own measure.
    state.usualGap_ +=
      -std::expm1(-step / kUsualSeconds) * (gap - state.usualGap_);
  }
}

void
HealthTracker::ObserveUnreachable(Index aServer, Time /*aNow*/)
{
  states_[aServer].isUnreachable_ = true;
}

void
HealthTracker::SetRunning(Index aServer,
                          std::uint32_t aRunning,
                          std::uint32_t aDecoding)
{
  states_[aServer].running_ = aRunning;
  states_[aServer].decoding_ = aDecoding;
}

bool
HealthTracker::IsFailing(const State& aState, Time aNow) const
{
  if (aState.isUnreachable_) {
    return true;
  }
  const Duration silent = aNow - aState.lastProgress_;
  if (aState.running_ > 0 &&
      silent > (aState.decoding_ > 0 ? kStall : kFirstTokenStall)) {
    return true;
  }
  const bool isRecent = aNow - aState.lastSample_ < kStall;
  return isRecent && aState.samples_ >= kFirstSamples &&
         aState.recentGap_ > kSlowFactor * aState.usualGap_;
}

void
HealthTracker::Eject(State& aState, Time aNow) const
{
  aState.isEjected_ = true;
  aState.isSuspect_ = false;
  aState.ejectedAt_ = aNow;
  aState.ejections_ = std::min(aState.ejections_ + 1, kMaximumDoublings);
}

bool
HealthTracker::IsReadmissionDue(const State& aState, Time aNow) const
{
  const Duration pause = kShortestPause * (1U << (aState.ejections_ - 1));
  if (aNow - aState.ejectedAt_ < pause) {
    return false;
  }
  // With requests still on it, their gaps show whether it has recovered.
  State probe = aState;
  probe.isUnreachable_ = false;
  return aState.running_ == 0 || !IsFailing(probe, aNow);
}

void
HealthTracker::Recover(State& aState, Time aNow) const
{
  if (aState.allowance_ != UINT32_MAX) {
    if (aNow - aState.allowanceRaised_ >= kAllowanceInterval) {
      aState.allowanceRaised_ = aNow;
      aState.allowance_ *= 2;
      if (aState.allowance_ >= kFullAllowance) {
        aState.allowance_ = UINT32_MAX;
      }
    }
    return;
  }
  if (aState.ejections_ > 0 && aNow - aState.ejectedAt_ > kForgiveInterval) {
    --aState.ejections_;
    aState.ejectedAt_ = aNow;
  }
}

void
HealthTracker::Tick(Time aNow, std::vector<Change>& aChanges)
{
  for (Index index = 0; index < states_.size(); ++index) {
    State& state = states_[index];
    if (state.isEjected_) {
      if (IsReadmissionDue(state, aNow)) {
        state.isEjected_ = false;
        state.isUnreachable_ = false;
        state.allowance_ = 1;
        state.allowanceRaised_ = aNow;
        state.lastProgress_ = aNow;
        // Old gaps would eject it again before it has shown new ones.
        state.recentGap_ = state.usualGap_;
        --ejected_;
        aChanges.push_back({ index, false });
      }
      continue;
    }
    if (!IsFailing(state, aNow)) {
      state.isSuspect_ = false;
      Recover(state, aNow);
      continue;
    }
    if ((ejected_ + 1) * kEjectableDivisor > usable_) {
      state.isSuspect_ = true;
      continue;
    }
    Eject(state, aNow);
    ++ejected_;
    aChanges.push_back({ index, true });
  }
}

} // namespace azurecross

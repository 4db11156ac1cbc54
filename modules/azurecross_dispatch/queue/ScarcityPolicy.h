#pragma once

#include <azurecross_core/azurecross_core.h>

namespace azurecross {

/** What the cost of a delay depends on, for one waiting request. */
struct WaitingRequest
{
  /** 0 is the most urgent. */
  int priority_ = 0;
  /** Time until the answer or first event is late; negative if it is. */
  Duration timeToTarget_{};
  /** Expected time from the start to the answer or first event. */
  Duration expectedService_{};
  Duration waited_{};
  /** Expected work in relation to that of a typical request. */
  double relativeWork_ = 1.0;
};

/**
 * Ranks waiting requests by what a further delay costs their callers, so that
 * under scarcity the cheapest ones are delayed. The rank is compared among all
 * daemons.
 *
 * A request that can still be in time loses nothing as long as it has slack, so
 * the one with the least slack is first, and urgency counts as less slack. One
 * that will be late anyway comes after all of these: its delay costs little
 * more. Among those, urgent and small ones are first, as they give way to the
 * most others, but each wait makes up for size, so that large requests are not
 * starved. This covers bursts in which the engines can't read all prompts in
 * time.
 */
class ScarcityPolicy
{
public:
  /** @returns the rank from 0 to `kMaxRank`; the lowest is served first. */
  static int ComputeRank(const WaitingRequest& aRequest);

  static constexpr int kMaxRank = 999;
  /** The lowest rank of a request that will be late. */
  static constexpr int kFirstLateRank = 500;
};

} // namespace azurecross

#include "ScarcityPolicy.h"

#include <algorithm>

namespace azurecross {

namespace {

/** Slack of one rank: about the interval at which waiting requests are tried.
 */
constexpr Duration kSlackStep = std::chrono::milliseconds(20);
/** More slack than this makes no difference. */
constexpr int kMaxSlackSteps = 200;
/** Slack that one level of priority is worth, in ranks: 0.2 s, about half of
 * the time in which an engine reads a prompt. */
constexpr int kPrioritySlackSteps = 10;
constexpr int kMaxPriority = 9;
/** Ranks between two priorities of late requests. */
constexpr int kLatePrioritySteps = 40;
/** Ranks of a typical request's work, and their limit. */
constexpr double kWorkSteps = 8.0;
constexpr int kMaxWorkSteps = 32;
/** Wait that makes up for one rank of work. */
constexpr Duration kAgingStep = std::chrono::milliseconds(500);

} // namespace

int
ScarcityPolicy::ComputeRank(const WaitingRequest& aRequest)
{
  const int priority = std::clamp(aRequest.priority_, 0, kMaxPriority);
  const Duration slack = aRequest.timeToTarget_ - aRequest.expectedService_;
  if (slack >= Duration::zero()) {
    const auto steps =
      std::min<Duration::rep>(slack / kSlackStep, kMaxSlackSteps);
    return static_cast<int>(steps) + kPrioritySlackSteps * priority;
  }
  const int work = static_cast<int>(
    std::min<double>(kWorkSteps * aRequest.relativeWork_, kMaxWorkSteps));
  const auto aging =
    std::min<Duration::rep>(aRequest.waited_ / kAgingStep, kMaxWorkSteps);
  return kFirstLateRank + kLatePrioritySteps * priority +
         std::max(work - static_cast<int>(aging), 0);
}

} // namespace azurecross

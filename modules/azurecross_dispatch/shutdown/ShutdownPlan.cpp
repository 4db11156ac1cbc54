#include "ShutdownPlan.h"

namespace azurecross {

namespace {

/** Time in which a load balancer that checks the readiness once a second
 * notices the shutdown and stops sending new callers. */
constexpr Duration kBalancerDelay = std::chrono::seconds(3);
/** Time per output token on a slow engine with a full batch. */
constexpr double kSlowSecondsPerToken = 0.036;
/** Few calls other than generations take longer than this. */
constexpr Duration kLongCallDuration = std::chrono::seconds(1);

/** @returns how long the request takes on a slow server, or nothing if its
 * length is unknown. */
std::optional<Duration>
EstimateDuration(const ShutdownCandidate& aRequest)
{
  if (aRequest.route_.kind_ != CallKind::Generation) {
    return kLongCallDuration;
  }
  if (aRequest.demand_.outputLimit_ == 0) {
    return std::nullopt;
  }
  return aRequest.route_.latencyTarget_ +
         FromSeconds(kSlowSecondsPerToken * aRequest.demand_.outputLimit_);
}

} // namespace

bool
ShutdownPlan::Allows(const ShutdownCandidate& aRequest, Time aNow) const
{
  if (aNow >= end_) {
    return false;
  }
  if (aRequest.deadline_ <= end_) {
    return true;
  }
  if (aNow - begin_ >= kBalancerDelay) {
    return false;
  }
  const auto estimate = EstimateDuration(aRequest);
  return estimate && *estimate < end_ - aNow;
}

} // namespace azurecross

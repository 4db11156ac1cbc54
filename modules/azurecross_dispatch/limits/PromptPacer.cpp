#include "PromptPacer.h"

#include <algorithm>

namespace azurecross {

namespace {

/** Bounds of the pace, in prompts per second. An engine that looks slower than
 * the lower one may only have had a long queue; a higher rate than the upper
 * one needs no pace. */
constexpr double kMinRate = 3.0;
constexpr double kMaxRate = 20.0;
/** The pace in relation to the rate at which the engine reads. Above 1, so that
 * the pace only spreads prompts and the engine never waits for them. */
constexpr double kPaceFactor = 2.0;

} // namespace

double
PromptPacer::ComputeRate(const ServerLoad& aEngine, double aMeanPromptTokens)
{
  const double secondsPerPrompt =
    std::max(aMeanPromptTokens, 1.0) * aEngine.GetSecondsPerPromptToken();
  return std::clamp(kPaceFactor / secondsPerPrompt, kMinRate, kMaxRate);
}

void
PromptPacer::Update(const ServerLoadTracker& aTracker, ServerLimiter& aLimiter)
{
  std::map<BackendServerId, double> paces;
  for (const auto& [id, server] : aTracker.GetServers()) {
    if (server.engine_ && server.engine_->pacesPrompts_) {
      paces.emplace(
        id,
        ComputeRate(server,
                    aTracker.GetMeanPromptTokens(server.record_.pool_)));
    }
  }
  aLimiter.SetPaces(std::move(paces));
}

} // namespace azurecross

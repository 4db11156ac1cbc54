#pragma once

#include <azurecross_dispatch/azurecross_dispatch.h>

#include <string>

namespace azurecross {

/** The start of the tests' virtual time. */
inline constexpr Time kStart = Time(std::chrono::seconds(1000));

inline Time
At(double aSeconds)
{
  return kStart + FromSeconds(aSeconds);
}

/** @returns an engine of the pool "engines" in this zone. */
ServerRecord
MakeEngine(const std::string& aId, const std::string& aZone = "a");

/** @returns an instance of the pool "desk" with two slots. */
ServerRecord
MakeService(const std::string& aId, const std::string& aZone = "a");

/** Memory for 20,000 tokens and 8 slots. */
EngineTraits
MakeTraits();

void
AddEngine(ServerLoadTracker& aTracker,
          const std::string& aId,
          const std::string& aZone = "a");

/** @returns a request for a generation with this prompt. */
PlacementRequest
MakeGeneration(std::uint32_t aPromptTokens);

/** @returns a request for a plain call. */
PlacementRequest
MakeCall();

/** Starts a generation on an engine, and its first event. */
RunId
StartGeneration(ServerLoadTracker& aTracker,
                const std::string& aServer,
                std::uint32_t aPromptTokens,
                Time aNow = kStart);

} // namespace azurecross

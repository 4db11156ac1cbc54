#pragma once

#include <azurecross_dispatch/azurecross_dispatch.h>

#include <string>

namespace azurecross {

/** Start of the virtual time of the tests. */
inline constexpr Time kStart = Time(std::chrono::seconds(1000));

/** @returns the virtual time this many seconds after the start. */
inline Time
At(double aSeconds)
{
  return kStart + FromSeconds(aSeconds);
}

/** @returns the name of the zone with this number. */
std::string
MakeZoneName(int aZone);

/** @returns an engine of the pool "engines" in the given zone. */
ServerRecord
MakeEngine(const std::string& aId, const std::string& aZone = "a");

/** @returns a plain service of the pool "desk" with two slots. */
ServerRecord
MakeService(const std::string& aId, const std::string& aZone = "a");

/** @returns traits with memory for 20,000 tokens and 8 slots. */
EngineTraits
MakeTraits();

void
AddEngine(ServerLoadTracker& aTracker,
          const std::string& aId,
          const std::string& aZone = "a");

/** @returns a request for a generation with this prompt length. */
PlacementRequest
MakeGeneration(std::uint32_t aPromptTokens);

/** @returns a request for a plain call. */
PlacementRequest
MakeCall();

/** Starts a generation on an engine and records its first event. */
RunId
StartGeneration(ServerLoadTracker& aTracker,
                const std::string& aServer,
                std::uint32_t aPromptTokens,
                Time aNow = kStart);

} // namespace azurecross

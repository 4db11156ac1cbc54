#pragma once

#include <azurecross_dispatch/azurecross_dispatch.h>

#include <optional>

namespace azurecross {

/** Why a stream was late. */
enum class LateCause
{
  /** The first event came after its target time. */
  FirstEvent,
  /** The time between two events exceeded its target. */
  Gap,
  FirstEventAndGap,
};

inline constexpr NameTable<LateCause, 3> kLateCauseNames{
  { { { LateCause::FirstEvent, "first_event" },
      { LateCause::Gap, "gap" },
      { LateCause::FirstEventAndGap, "first_event_and_gap" } } }
};

/** The state of an engine when an event arrived. */
struct EngineSnapshot
{
  BackendServerId server_;
  std::uint32_t runs_ = 0;
  double pendingPromptTokens_ = 0.0;
  double secondsPerToken_ = 0.0;

  static EngineSnapshot Take(const ServerLoad& aServer);
};

/**
 * Measures the time to the first event of a stream and its longest gap, with
 * the state of the engine at the end of each.
 */
class StreamTiming
{
public:
  /** Records the arrival of events.
   * @param aEngine the engine that sent them, or null if it is unknown. */
  void RecordEvents(Time aArrival, Time aNow, const ServerLoad* aEngine);

  /** @returns the gap that the last event ended; 0 for the first event. */
  Duration GetLastGap() const { return lastGap_; }
  /** @returns which targets were missed, if any. A target of 0 is none. */
  std::optional<LateCause> FindCause(Duration aLatencyTarget,
                                     Duration aGapTarget) const;

  Duration GetFirstEventTime() const { return firstEventTime_; }
  Duration GetLongestGap() const { return longestGap_; }
  const EngineSnapshot& GetEngineAtFirstEvent() const { return atFirstEvent_; }
  const EngineSnapshot& GetEngineAtLongestGap() const { return atLongestGap_; }

private:
  std::optional<Time> lastEvent_;
  Duration firstEventTime_{};
  Duration lastGap_{};
  Duration longestGap_{};
  EngineSnapshot atFirstEvent_;
  EngineSnapshot atLongestGap_;
};

} // namespace azurecross

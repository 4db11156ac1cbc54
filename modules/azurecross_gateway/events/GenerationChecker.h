#pragma once

#include "EventParser.h"

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azurecross {

/** What an event of a generation is. */
enum class EventKind
{
  /** Carries output. */
  Token,
  /** `[DONE]`. */
  Done,
  /** Has no data, for example a comment that keeps the connection open. */
  Comment,
  /** The engine's own report of a failure. */
  EngineError,
  /** Belongs to another generation. */
  Mismatched,
  /** Repeats an event. */
  Duplicated,
  /** Follows a missing event. */
  Gap,
};

/**
 * Checks that the events of a stream come from one generation, each once and
 * in order. Engines number their events in the id field; where one does not,
 * the events are counted.
 */
class GenerationChecker
{
public:
  GenerationChecker() = default;

  /** Expects the events of this generation from this offset on. */
  GenerationChecker(std::string aGeneration, std::uint64_t aNextOffset);

  /** @returns what the event is; its offset is `GetOffset()`. */
  EventKind Check(const StreamEvent& aEvent);

  /** @returns the generation's id, empty before the first event. */
  const std::string& GetGeneration() const { return generation_; }

  /** @returns the offset of the last token event. */
  std::uint64_t GetOffset() const { return nextOffset_ - 1; }

private:
  EventKind CheckOffset(std::string_view aId);

  std::string generation_;
  std::uint64_t nextOffset_ = 0;
  bool isOffsetKnown_ = false;
};

/**
 * @returns the text of the top-level string member with this name in a JSON
 * object, or an empty text. Reads no further than the member and allocates
 * nothing; text with escapes is returned as it stands.
 */
std::string_view
FindTopLevelText(std::string_view aJson, std::string_view aName);

} // namespace azurecross

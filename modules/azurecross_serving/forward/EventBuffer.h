#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace azurecross {

/**
 * Cuts an event stream after its last whole event, so that a stream which
 * breaks off in the middle of an event can go on from another engine. The bytes
 * themselves stay as they are.
 */
class EventBuffer
{
public:
  void Append(std::string_view aBytes) { bytes_ += aBytes; }

  /** @returns the whole events that have arrived, as one text; empty if there
   * is none. */
  std::string TakeWholeEvents();

  /** @returns what is left at the end of a complete stream. */
  std::string TakeRest();

  /** Forgets an event of which only a part has arrived. */
  void DropPart() { bytes_.clear(); }

  std::size_t GetSize() const { return bytes_.size(); }
  /** @returns the id of the last event taken. */
  const std::string& GetLastId() const { return lastId_; }
  /** @returns how many events have been taken. */
  std::uint32_t CountEvents() const { return events_; }

private:
  std::string bytes_;
  std::string lastId_;
  std::uint32_t events_ = 0;
};

} // namespace azurecross

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace azurecross {

/**
 * Splits a stream of server-sent events after its last complete event, so that
 * a stream that breaks within an event can be resumed from another engine. The
 * bytes are not changed.
 */
class EventBuffer
{
public:
  void Append(std::string_view aBytes) { bytes_ += aBytes; }

  /**
   * @returns the complete events received so far, concatenated; empty if there
   * are none.
   */
  std::string TakeCompleteEvents();

  /**
   * @returns the bytes after the last complete event, at the end of a stream.
   */
  std::string TakeRemainder();

  /** Discards an event that was received only in part. */
  void DiscardPartialEvent() { bytes_.clear(); }

  std::size_t GetSize() const { return bytes_.size(); }
  /** @returns the id of the last event that was taken. */
  const std::string& GetLastId() const { return lastId_; }
  /** @returns the number of events with an id that were taken. */
  std::uint32_t CountEvents() const { return eventCount_; }

private:
  std::string bytes_;
  std::string lastId_;
  std::uint32_t eventCount_ = 0;
};

} // namespace azurecross

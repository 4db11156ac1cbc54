#pragma once

#include "../events/EventParser.h"

#include <azurecross_core/azurecross_core.h>

#include <boost/asio/buffer.hpp>

#include <array>
#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace azurecross {

/**
 * Collects events for one write to the caller: an id line before each event
 * and one HTTP chunk around all of them. The events' bytes are not copied and
 * nothing is allocated once the stream has begun.
 */
class EventFramer
{
public:
  /** Without chunks the end of the connection ends the body (HTTP/1.0). */
  explicit EventFramer(bool aIsChunked);

  /** Sets the part of the ids that all events share. */
  void SetOrigin(const BackendServerId& aBackendServer,
                 std::string_view aGeneration);

  /** Puts the head of the answer before the first event. */
  void AddHead(std::string aHead);
  /** Adds an event with an id line in place of its own. */
  void AddEvent(const StreamEvent& aEvent, std::uint64_t aOffset);
  /** Adds an event or comment as it is. */
  void AddBlock(const StreamEvent& aEvent);
  /** Adds the text of an event made here. */
  void AddText(std::string aText);
  /** Adds the end of the body. */
  void AddEnd();

  bool IsEmpty() const { return count_ == 0 && !hasEnd_; }
  /** @returns whether the next event may not fit; write first. */
  bool IsFull() const { return count_ + kBuffersPerEvent > kBufferLimit; }

  /** @returns the buffers to write; valid until `Clear`. */
  std::span<boost::asio::const_buffer> Finish();
  void Clear();

private:
  /** Id line, and the event before and after its own id line. */
  static constexpr std::size_t kBuffersPerEvent = 3;
  /** Id line and event; bounds how many id lines one write can have. */
  static constexpr std::size_t kLeastBuffersPerEvent = 2;
  /** Asio passes at most 64 buffers to one system call. */
  static constexpr std::size_t kBufferLimit = 60;

  void Add(std::string_view aText);
  void AddBody(std::string_view aText);
  std::string_view Keep(std::string aText);

  std::array<boost::asio::const_buffer, kBufferLimit + 4> buffers_;
  std::size_t count_ = 0;
  std::size_t chunkBytes_ = 0;
  bool isChunked_;
  bool hasBody_ = false;
  bool hasEnd_ = false;
  /** Where the header of the current chunk is filled in. */
  char* chunkHeader_ = nullptr;
  std::array<char, 16> ownHeader_{};
  std::string origin_;
  /**
   * One slot for each event of a write: room for a chunk header, the origin,
   * which stays, and the digits of the offset.
   */
  std::vector<char> slots_;
  std::size_t slotBytes_ = 0;
  std::size_t usedSlots_ = 0;
  std::list<std::string> kept_;
};

} // namespace azurecross

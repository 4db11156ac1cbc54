#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace azurecross {

/** One event of a stream. The views are valid until the next `Next`. */
struct StreamEvent
{
  /** All bytes of the event, with the blank line that ends it. */
  std::string_view block_;
  /** The data lines, joined by line feeds. */
  std::string_view data_;
  /** The value of the id field. */
  std::string_view id_;
  /** The line of the id field with its end; a part of `block_`. */
  std::string_view idLine_;
  bool hasData_ = false;
  /**
   * Whether the views point into the parser, because the event arrived in
   * several pieces, and not into the piece given last.
   */
  bool isAssembled_ = false;
};

/**
 * Splits a `text/event-stream` body into events, however the bytes arrive.
 * Lines may end in LF, CRLF or CR. An event that lies in one piece is not
 * copied.
 *
 * @code
 * parser.Give(piece);
 * while (auto event = parser.Next()) { ... }
 * if (parser.HasFailed()) { ... }
 * @endcode
 */
class EventParser
{
public:
  /** An event over this size is an error, so that memory is bounded. */
  explicit EventParser(std::size_t aEventLimitBytes);

  /** Gives the next piece; it must outlive the calls of `Next` for it. */
  void Give(std::string_view aPiece);

  /** @returns the next whole event, or nothing when the piece is used up. */
  std::optional<StreamEvent> Next();

  /** @returns whether an event was over the limit. */
  bool HasFailed() const { return failed_; }

  /** @returns whether the bytes so far end in the middle of an event. */
  bool IsInsideEvent() const { return !carry_.empty() || !rest_.empty(); }

private:
  std::size_t FindEventEnd(std::string_view aBytes);
  bool ParseBlock(std::string_view aBlock, StreamEvent& aEvent);
  void ParseLine(std::string_view aLine,
                 std::string_view aWholeLine,
                 StreamEvent& aEvent);
  bool KeepRest();

  std::size_t limit_;
  std::string_view rest_;
  /** The start of an event whose end has not arrived. */
  std::string carry_;
  /** Data of an event with several data lines. */
  std::string joined_;
  bool carryIsUsedUp_ = false;
  bool isLineEmpty_ = true;
  bool skipLineFeed_ = false;
  bool failed_ = false;
};

} // namespace azurecross

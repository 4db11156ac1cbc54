#include "EventBuffer.h"

namespace azurecross {

namespace {

constexpr std::string_view kIdField = "id:";

/**
 * @returns the position after the event that starts at `aFrom`, or npos if the
 * event is incomplete. Events end with an empty line; lines end with LF or
 * CRLF.
 */
std::size_t
FindEventEnd(std::string_view aBytes, std::size_t aFrom)
{
  std::size_t line = aFrom;
  for (;;) {
    const std::size_t end = aBytes.find('\n', line);
    if (end == std::string_view::npos) {
      return end;
    }
    const std::string_view text = aBytes.substr(line, end - line);
    if (text.empty() || text == "\r") {
      return end + 1;
    }
    line = end + 1;
  }
}

/** @returns the value of the event's id field, or an empty string. */
std::string_view
FindId(std::string_view aEvent)
{
  for (std::size_t line = 0; line < aEvent.size();) {
    const std::size_t end = aEvent.find('\n', line);
    std::string_view text = aEvent.substr(line, end - line);
    if (text.starts_with(kIdField)) {
      text.remove_prefix(kIdField.size());
      const std::size_t first = text.find_first_not_of(' ');
      const std::size_t last = text.find_last_not_of("\r ");
      return first == std::string_view::npos
               ? std::string_view()
               : text.substr(first, last - first + 1);
    }
    if (end == std::string_view::npos) {
      break;
    }
    line = end + 1;
  }
  return {};
}

} // namespace

std::string
EventBuffer::TakeCompleteEvents()
{
  std::size_t taken = 0;
  for (;;) {
    const std::size_t end = FindEventEnd(bytes_, taken);
    if (end == std::string::npos) {
      break;
    }
    const std::string_view id =
      FindId(std::string_view(bytes_).substr(taken, end - taken));
    if (!id.empty()) {
      lastId_ = id;
      ++eventCount_;
    }
    taken = end;
  }
  std::string events = bytes_.substr(0, taken);
  bytes_.erase(0, taken);
  return events;
}

std::string
EventBuffer::TakeRemainder()
{
  std::string remainder;
  remainder.swap(bytes_);
  return remainder;
}

} // namespace azurecross

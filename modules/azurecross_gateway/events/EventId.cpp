#include "EventId.h"

#include <algorithm>
#include <charconv>

namespace azurecross {

namespace {

constexpr std::size_t kGenerationIdLimit = 128;

bool
IsGenerationIdCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' ||
         aCharacter == '_';
}

} // namespace

std::string
EventId::Format() const
{
  return backendServer_.GetValue() + "." + generation_ + "." +
         std::to_string(offset_);
}

std::optional<std::uint64_t>
ParseEventOffset(std::string_view aText)
{
  const std::size_t dot = aText.rfind('.');
  if (dot != std::string_view::npos) {
    aText.remove_prefix(dot + 1);
  }
  std::uint64_t offset = 0;
  const char* end = aText.data() + aText.size();
  const auto [at, code] = std::from_chars(aText.data(), end, offset);
  if (code != std::errc() || at != end) {
    return std::nullopt;
  }
  return offset;
}

bool
IsValidGenerationId(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kGenerationIdLimit &&
         std::all_of(aText.begin(), aText.end(), IsGenerationIdCharacter);
}

std::optional<EventId>
ParseEventId(std::string_view aText)
{
  const std::size_t last = aText.rfind('.');
  if (last == std::string_view::npos || last == 0) {
    return std::nullopt;
  }
  const std::size_t middle = aText.rfind('.', last - 1);
  if (middle == std::string_view::npos || middle == 0) {
    return std::nullopt;
  }
  const auto offset = ParseEventOffset(aText.substr(last));
  const std::string_view generation =
    aText.substr(middle + 1, last - middle - 1);
  if (!offset || !IsValidGenerationId(generation)) {
    return std::nullopt;
  }
  return EventId{ BackendServerId(std::string(aText.substr(0, middle))),
                  std::string(generation),
                  *offset };
}

} // namespace azurecross

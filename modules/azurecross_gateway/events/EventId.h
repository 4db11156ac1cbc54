#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azurecross {

/**
 * The id of an event as callers see it:
 * `<backend server>.<generation>.<offset>`.
 */
struct EventId
{
  BackendServerId backendServer_;
  std::string generation_;
  std::uint64_t offset_ = 0;

  /** @returns the text form. */
  std::string Format() const;
};

/**
 * Reads the text form. The backend server's name may contain dots; the
 * generation's id may not.
 * @returns nothing for a text of another form.
 */
std::optional<EventId>
ParseEventId(std::string_view aText);

/** @returns the number after the last dot, or the whole text as a number. */
std::optional<std::uint64_t>
ParseEventOffset(std::string_view aText);

/**
 * @returns whether a generation's id can be part of an event id and of a path:
 * letters, digits, `-` and `_`, at most 128 of them.
 */
bool
IsValidGenerationId(std::string_view aText);

} // namespace azurecross

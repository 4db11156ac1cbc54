#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azurecross {

/** Identifies a part of a prompt that several requests can share, wherever it
 * stands in their prompts. */
using PromptPartId = std::uint64_t;

/** @returns the id in hexadecimal, as in requests and logs. */
std::string
FormatPromptPartId(PromptPartId aPart);

/** @returns the id, or nothing if the text is not a hexadecimal number of at
 * most 64 bits. */
std::optional<PromptPartId>
ParsePromptPartId(std::string_view aText);

} // namespace azurecross

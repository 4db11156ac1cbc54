#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace azurecross {

/** @returns the bytes in base64 with padding. */
std::string
EncodeBase64(std::string_view aBytes);

/** Decodes base64 with padding. @returns nothing for anything else. */
std::optional<std::string>
DecodeBase64(std::string_view aText);

} // namespace azurecross

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace azurecross {

/** @returns the text as a raw deflate stream (RFC 1951). */
std::string
CompressText(std::string_view aText);

/**
 * @param aLimitBytes the largest text that is accepted.
 * @returns the text, or nothing if the stream is malformed, incomplete or
 * larger than the limit.
 */
std::optional<std::string>
DecompressText(std::string_view aStream, std::size_t aLimitBytes);

} // namespace azurecross

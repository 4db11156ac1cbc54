#pragma once

#include <azurecross_core/azurecross_core.h>

#include <string>
#include <string_view>

namespace azurecross {

/** @returns the HTTP status that callers get for a failure. */
unsigned
FindErrorStatus(ErrorCode aCode);

/** @returns the failure as a JSON object in the OpenAI shape. */
std::string
FormatErrorBody(const Error& aError);

/** @returns whole seconds for a Retry-After header, at least 1. */
std::string
FormatRetryAfter(const Error& aError);

/** @returns the failure as the last event of a stream. */
std::string
FormatErrorEvent(const Error& aError);

/** @returns whether answers with this status carry Retry-After. */
inline bool
HasRetryAfter(unsigned aStatus)
{
  return aStatus == 429 || aStatus == 503;
}

} // namespace azurecross

#pragma once

#include <azurecross_dispatch/azurecross_dispatch.h>

#include <optional>
#include <string>
#include <string_view>

namespace azurecross {

/** @returns whether the text is a message about permits rather than a load
 * report. */
bool
IsPermitMessage(std::string_view aText);

/** @returns the message as JSON. Times are sent as ages, because the clocks of
 * the daemons have different origins. */
std::string
FormatPermitMessage(const PermitMessage& aMessage, Time aNow);

/** @returns the message, or nothing if the text is not a valid message. */
std::optional<PermitMessage>
ParsePermitMessage(std::string_view aText, Time aNow);

} // namespace azurecross

#pragma once

#include "CommandContext.h"

namespace azurecross {

/** Prints the story of a request from logs in files or on standard input.
 * @returns 1 if a file can't be read or no record names the request. */
int
RunTrace(CommandContext& aContext);

} // namespace azurecross

#pragma once

#include "CommandContext.h"

namespace azurecross {

// The commands that ask entries; each returns the exit status.

/** Prints the `/status` of each entry in `--entries`. */
int
RunStatus(CommandContext& aContext);

/** Prints how an entry would treat a request. */
int
RunExplain(CommandContext& aContext);

/** Sends a request to an entry and prints the answer as it arrives. */
int
RunSend(CommandContext& aContext);

} // namespace azurecross

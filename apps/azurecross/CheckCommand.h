#pragma once

#include "CommandContext.h"

namespace azurecross {

/** Checks an operator's document of the forwarding path before it is sent, and
 * compares it with the one in force if `--in-force` names its file.
 * @returns 0 without findings or with warnings and changes only, 1 after an
 * error, 2 if a file can't be read. */
int
RunCheckTables(CommandContext& aContext);

} // namespace azurecross

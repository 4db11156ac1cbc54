#pragma once

#include "CommandContext.h"

namespace azurecross {

// The commands that read and write the tables in the store; each returns the
// exit status.

/** Prints both tables, or the rows that an argument names. */
int
RunGet(CommandContext& aContext);

/** Sets fields of one row, or deletes it. */
int
RunEdit(CommandContext& aContext);

/** Prints what `apply` would change; exit status 1 if there is anything. */
int
RunDiff(CommandContext& aContext);

/** Writes the rows of a file. */
int
RunApply(CommandContext& aContext);

/** Prints each new revision until interrupted. */
int
RunWatch(CommandContext& aContext);

/** Prints the newest edits. */
int
RunAudit(CommandContext& aContext);

} // namespace azurecross

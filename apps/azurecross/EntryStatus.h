#pragma once

#include "CommandContext.h"

#include <optional>

namespace azurecross {

/**
 * Asks the operations ports in `--entries` for the revision that each has in
 * force. An entry that does not answer is reported and left out.
 * @returns the highest revision, or nothing if no entry has answered with one.
 */
std::optional<TableRevision>
FindKnownRevision(CommandContext& aContext);

/**
 * Reads `tables.revision` and `tables.edit_id` of an entry's `/status`.
 * @returns nothing if the entry has no tables.
 */
std::optional<TableRevision>
ParseStatusRevision(std::string_view aText);

} // namespace azurecross

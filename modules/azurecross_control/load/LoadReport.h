#pragma once

#include <azurecross_core/azurecross_core.h>
#include <azurecross_policy/azurecross_policy.h>

#include <string_view>

namespace azurecross {

/** What an engine says about itself. */
struct LoadReport
{
  BackendServerLoad load_;
  /** The engine's own word that it takes no new work. */
  bool isLeaving_ = false;
};

/**
 * Reads the answer of an engine's `GET /load`.
 * @returns the report, or a failure that names the wrong field.
 */
Result<LoadReport>
ParseLoadReport(const BackendServerId& aServer,
                std::string_view aText,
                Time aMeasured);

} // namespace azurecross

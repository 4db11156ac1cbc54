#pragma once

#include <azurecross_core/azurecross_core.h>

namespace azurecross {

/** @returns the parser of all settings of the operator command line. */
SettingsParser
MakeCommandParser();

/** Runs the command that the first argument names; @returns the exit status. */
int
RunCommand(const SettingValues& aSettings);

} // namespace azurecross

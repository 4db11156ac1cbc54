#pragma once

#include <azurecross_core/azurecross_core.h>

namespace azurecross {

/** @returns the processor time of this process, of all its threads. */
Duration
ReadProcessorTime();

/** @returns the resident memory of this process in MB. */
double
ReadResidentMegabytes();

} // namespace azurecross

#pragma once

#include "Deployment.h"

namespace azurecross::harness {

/** Lets all servers name a limit in their answers from now on.
 * @returns the time of the change. */
Clock::time_point
NameLimits(Record& aRecord, Deployment& aDeployment, int aRequestsPerSecond);

/** Compares what each server got in any 4 s with what its limit allows, from
 * three seconds after it first named the limit, and from entries that had
 * passed on such an answer half a second before or earlier.
 * @param aNamed when the servers began to name the limit
 * @returns the exit status of the case. */
int
CheckLimits(Record& aRecord,
            Deployment& aDeployment,
            int aRequestsPerSecond,
            Clock::time_point aNamed);

} // namespace azurecross::harness

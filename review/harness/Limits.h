#pragma once

#include "Deployment.h"

namespace azurecross::harness {

/** Lets all servers name a limit in their answers from now on.
 * @returns the time of the change. */
Clock::time_point
NameLimits(Record& aRecord, Deployment& aDeployment, int aRequestsPerSecond);

/** Compares what each server got in any 4 s after a time with what its limit
 * allows. @returns the exit status of the case. */
int
CheckLimits(Record& aRecord,
            Deployment& aDeployment,
            int aRequestsPerSecond,
            Clock::time_point aFrom);

} // namespace azurecross::harness

#pragma once

/**
 * Scheduling policy: admission, queueing and placement of requests.
 *
 * The classes are deterministic state machines, which take events and a time
 * and return actions. They read no clock and do no I/O, and the same seed gives
 * the same decisions.
 */

#include "admission/LengthPredictor.h"
#include "arbitration/Arbiter.h"
#include "fairness/FairQueue.h"
#include "health/RetryBudget.h"
#include "placement/PrefixIndex.h"
#include "routing/ZoneRouter.h"

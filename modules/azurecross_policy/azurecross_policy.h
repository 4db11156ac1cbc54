#pragma once

/**
 * The decision core under load: which request runs where and when, and which
 * one is refused. Plain state machines take events and a time and return
 * actions; nothing here reads a clock or does I/O, and the same seed gives the
 * same run.
 */

#include "admission/LengthPredictor.h"
#include "arbitration/Arbiter.h"
#include "fairness/FairQueue.h"
#include "health/RetryBudget.h"
#include "placement/PrefixIndex.h"
#include "routing/ZoneRouter.h"

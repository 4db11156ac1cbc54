#pragma once

/**
 * Orders to engines (loads of models and adapters, role changes) under a lease
 * with fencing numbers. Does no I/O: a shell carries out the actions and
 * reports what came of them.
 */

#include "lease/OrderLease.h"
#include "messages/EngineOrder.h"
#include "messages/OrderActions.h"
#include "planning/LoadPacer.h"
#include "planning/OrderController.h"
#include "planning/OrderPlanner.h"

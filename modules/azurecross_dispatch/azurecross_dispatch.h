#pragma once

/**
 * Decisions of the forwarding path: which route a request takes, which backend
 * server runs it and when, when it is refused, when it may be sent again and
 * when a running generation moves to another engine.
 *
 * Nothing here does I/O or reads a clock: times come with each call and random
 * numbers from a seed.
 */

#include "tables/ServingTables.h"

#include "limits/KeyFreshness.h"
#include "limits/ReportRateLimiter.h"
#include "limits/RetryAllowance.h"
#include "moves/MovePlanner.h"
#include "placement/ServerLoadTracker.h"
#include "placement/ServerPlacement.h"
#include "queue/Dispatcher.h"
#include "servers/ServerDirectory.h"

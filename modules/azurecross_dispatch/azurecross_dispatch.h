#pragma once

/**
 * Decision logic of the forwarding path: routing, choice of the backend server,
 * queueing, rejection, retries, and moves of running generations between
 * engines.
 *
 * The module does no I/O and reads no clock. Callers pass the current time to
 * each function, and random numbers are derived from a seed.
 */

#include "tables/ServingTables.h"
#include "tables/TablesCheck.h"

#include "limits/IssuerSelector.h"
#include "limits/KeyFreshness.h"
#include "limits/PermitIssuer.h"
#include "limits/PermitMessage.h"
#include "limits/PromptPacer.h"
#include "limits/ReportRateLimiter.h"
#include "limits/RetryAllowance.h"
#include "limits/ServerLimitTable.h"
#include "limits/ServerLimiter.h"
#include "limits/WarmUpTable.h"
#include "moves/MovePlanner.h"
#include "placement/ServerLoadTracker.h"
#include "placement/ServerPlacement.h"
#include "placement/TokenPace.h"
#include "quarantine/RequestQuarantine.h"
#include "queue/Dispatcher.h"
#include "queue/ScarcityPolicy.h"
#include "servers/ServerDirectory.h"
#include "shutdown/ShutdownPlan.h"
#include "zones/ZoneEvacuations.h"

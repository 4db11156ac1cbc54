#pragma once

/**
 * Types and services that every other module uses: identifiers, verdicts and
 * errors, time and seeded random numbers, RCU snapshots, settings, logging
 * and metrics.
 *
 * This header pulls in no Asio, Beast or Boost.Log header.
 */

#include "types/NameTable.h"
// Identifiers and verdicts build on name tables.
#include "types/Identifiers.h"
#include "types/Rank.h"
#include "types/Verdict.h"
// Errors carry a verdict.
#include "types/Error.h"
// Captures errors for coroutines and threads.
#include "types/CaptureResult.h"

#include "concurrency/RcuCell.h"
#include "concurrency/ScopeGuard.h"
#include "hashing/Hash.h"
#include "logging/FatalSignalLog.h"
#include "logging/Log.h"
#include "metrics/Metrics.h"
#include "settings/Settings.h"
#include "time/Random.h"
#include "time/Time.h"

#pragma once

/**
 * The routes and pools that operators edit: rows and their JSON form, checks,
 * revisions, edits with their audit entries, and the state machine that
 * decides which revision an entry has in force. Does no I/O.
 */

#include "codec/RowChecks.h"
#include "codec/TableCodec.h"
#include "codec/TableProblem.h"
#include "edits/AuditEntry.h"
#include "edits/EditPlan.h"
#include "revisions/RowChange.h"
#include "revisions/TableRevision.h"
#include "rows/Pool.h"
#include "rows/Route.h"
#include "rows/Vm.h"
#include "state/ConfigurationState.h"
#include "state/DeltaChain.h"
#include "state/TableDelta.h"
#include "state/TableSnapshot.h"
#include "state/TableUpdate.h"
#include "store/ConfigurationKeys.h"
#include "store/KeyValue.h"
#include "tables/RouteIndex.h"
#include "tables/TableRows.h"
#include "tables/Tables.h"

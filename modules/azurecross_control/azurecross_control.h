#pragma once

/**
 * The control thread of an entry: joins the decision core with the store, the
 * VM list, the peers and the gateway's workers.
 *
 * `GrantCoordinator` and `GroupDirectory` do no I/O; `ControlPlane` is the
 * whole, for daemons.
 */

#include "grants/GrantActions.h"
#include "grants/GrantCoordinator.h"
#include "grants/GrantMessages.h"
#include "grants/GroupSelector.h"
#include "grants/HomeGroup.h"
#include "groups/GroupDirectory.h"
#include "load/LoadPoller.h"
#include "load/LoadReport.h"
#include "operations/ClaimStore.h"
#include "operations/OperationShell.h"
#include "operations/OperationWire.h"
#include "orders/EngineStateReport.h"
#include "orders/OrderLeaseClient.h"
#include "orders/OrderShell.h"
#include "pacing/PeakKeeper.h"
#include "pacing/PeakShell.h"
#include "plane/AwaitCallback.h"
#include "plane/ControlLoop.h"
#include "plane/ControlPlane.h"
#include "plane/ControlSettings.h"
#include "plane/NewsExchange.h"
#include "plane/PeerBridge.h"
#include "plane/PeerMetrics.h"
#include "plane/TableSync.h"

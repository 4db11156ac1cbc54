#pragma once

/**
 * At most one run of each non-idempotent operation: issued operation keys,
 * callers' own keys with claims in the store, the ledger of what ran, the
 * forwarding of keys to their owner and the hand-over of records on a planned
 * stop. A decision core without I/O; see docs/at-most-once.md.
 */

#include "claims/ClaimDecision.h"
#include "claims/ClaimRecord.h"
#include "claims/ClaimWriter.h"
#include "coordinator/OperationCoordinator.h"
#include "coordinator/OwnershipTable.h"
#include "keys/OperationKey.h"
#include "keys/OperationKeyCodec.h"
#include "keys/RequestFingerprint.h"
#include "ledger/OperationLedger.h"
#include "messages/OperationActions.h"
#include "messages/OperationMessages.h"

#pragma once

/**
 * The forwarding path of an entry. Requests are forwarded to backend servers of
 * the pools of their route; the route declares whether a request may be
 * repeated, and `azurecross_dispatch` decides when and where a request runs.
 * Everything runs on one thread.
 */

#include "daemon/AddressRetry.h"
#include "daemon/ServingDaemon.h"
#include "state/ServingSettings.h"
#include "state/StateSource.h"
#include "wire/WireProtocol.h"

#pragma once

/**
 * The forwarding path of an entry: requests with their semantics declared by
 * the route are passed on unchanged to backend servers of the route's pool, at
 * the time and place that `azurecross_dispatch` decides. All on one thread.
 */

#include "daemon/ServingDaemon.h"
#include "state/ServingSettings.h"
#include "state/StateSource.h"
#include "wire/WireProtocol.h"

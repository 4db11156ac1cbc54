#pragma once

/**
 * The path from callers to backend servers: HTTP filters, backend server
 * connections, the event stream relay and the entry server.
 */

#include "controller/Assignment.h"
#include "controller/DispatchRequest.h"
#include "controller/Operation.h"
#include "controller/RequestController.h"
#include "controller/RouteMatch.h"

#include "server/EntryServer.h"
#include "server/OperationsServer.h"

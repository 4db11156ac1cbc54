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

#include "backend/BackendConnection.h"
#include "backend/BackendPool.h"
#include "backend/BufferBudget.h"
#include "backend/ServiceAdapter.h"
#include "messages/AnswerHead.h"
#include "messages/ErrorReply.h"
#include "relay/CallerChannel.h"

#include "server/DeadlineList.h"
#include "server/EntryServer.h"
#include "server/OperationsServer.h"

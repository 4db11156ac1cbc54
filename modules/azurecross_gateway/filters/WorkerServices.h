#pragma once

#include "../backend/BackendPool.h"
#include "../backend/BufferBudget.h"
#include "../controller/ControllerPort.h"
#include "../relay/WorkerSocket.h"
#include "../server/DeadlineList.h"
#include "../server/GatewayLimits.h"
#include "../server/RunningRequests.h"
#include "../server/WorkerMetrics.h"

#include <azurecross_core/azurecross_core.h>

namespace azurecross {

/** What the filters of one worker thread use. */
struct WorkerServices
{
  WorkerExecutor executor_;
  ControllerPort& controller_;
  const GatewayLimits& limits_;
  DeadlineList& deadlines_;
  WorkerMetrics& metrics_;
  BackendPool& pool_;
  BufferBudget& answerBudget_;
  BufferBudget& bodyBudget_;
  RunningRequests& running_;
  Random& random_;
};

} // namespace azurecross

#pragma once

#include "../dispatch/AsyncDispatcher.h"
#include "../log/DecisionLog.h"
#include "../metrics/ServingMetrics.h"
#include "../state/ServingState.h"
#include "../wire/WireTranslator.h"

#include <azurecross_gateway/azurecross_gateway.h>

#include <functional>

namespace azurecross {

class RunMover;

/** What the steps of the forwarding path use. All on one thread. */
struct ForwardServices
{
  WorkerExecutor executor_;
  const WireTranslator& wire_;
  ServingState& state_;
  AsyncDispatcher& dispatch_;
  DecisionLog& log_;
  ServingMetrics& metrics_;
  DeadlineList& deadlines_;
  BackendPool& connections_;
  GatewayLimits& limits_;
  Random& random_;
  /** Waits for a proof that the tables are fresh; @see StateSync */
  std::function<boost::asio::awaitable<bool>(Duration)> awaitProof_;
  RunMover* mover_ = nullptr;
  /** When the daemon ends, once a planned stop has begun. */
  std::optional<Time> stopsAt_;
};

} // namespace azurecross

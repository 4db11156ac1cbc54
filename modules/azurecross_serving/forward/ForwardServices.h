#pragma once

#include "../dispatch/AsyncDispatcher.h"
#include "../log/DecisionLog.h"
#include "../metrics/ServingMetrics.h"
#include "../state/ServingState.h"
#include "../wire/WireProtocol.h"

#include <azurecross_gateway/azurecross_gateway.h>

#include <functional>

namespace azurecross {

class ServerDeathProbe;
class GenerationMover;

/** Dependencies of the forwarding path, all used on one thread. */
struct ForwardServices
{
  WorkerExecutor executor_;
  const WireProtocol& wire_;
  ServingState& state_;
  AsyncDispatcher& dispatch_;
  DecisionLog& log_;
  ServingMetrics& metrics_;
  DeadlineList& deadlines_;
  BackendPool& connections_;
  GatewayLimits& limits_;
  /** Memory of the responses that are being read. */
  BufferBudget& responseBudget_;
  /** Memory of the bodies of the requests that are read or in progress. */
  BufferBudget& requestBudget_;
  Random& random_;
  /**
   * Waits up to the given time for a read that confirms the tables as fresh.
   * @see StateSync
   */
  std::function<boost::asio::awaitable<bool>(Duration)> awaitFreshTables_;
  GenerationMover* mover_ = nullptr;
  ServerDeathProbe* deathProbe_ = nullptr;
  /** Set when a planned shutdown begins. */
  std::optional<ShutdownPlan> shutdown_;
};

} // namespace azurecross

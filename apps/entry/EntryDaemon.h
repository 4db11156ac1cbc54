#pragma once

#include "EntrySettings.h"

#include <azurecross_control/azurecross_control.h>
#include <azurecross_gateway/azurecross_gateway.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace azurecross {

/**
 * Wires the control thread, the gateway and the operations port of one entry
 * and stops them on signals.
 *
 * SIGTERM and SIGINT start a graceful shutdown; a second one logs the requests
 * that are still running; SIGQUIT ends the daemon at once. SIGHUP has no
 * effect.
 */
class EntryDaemon
{
public:
  explicit EntryDaemon(const EntrySettings& aSettings);

  /** Runs until a planned stop has finished. @returns the exit status. */
  int Run();

private:
  void AddPages();
  void WaitForSignal();
  void WaitForReloadSignal();
  void TakeSignal(int aSignal);
  void BeginDrain();
  /** Ends the daemon once it is drained and the grace time is over. */
  void FinishIfDrained();

  const EntrySettings& settings_;
  Metrics metrics_;
  boost::asio::io_context context_{ 1 };
  ControlPlane control_;
  std::unique_ptr<EntryServer<ControlPlane>> server_;
  std::unique_ptr<OperationsServer> operations_;
  boost::asio::signal_set signals_;
  boost::asio::signal_set reloadSignals_;
  boost::asio::steady_timer graceTimer_;
  boost::asio::steady_timer drainTimer_;
  bool isDraining_ = false;
  bool isDrained_ = false;
  bool isGraceOver_ = false;
};

} // namespace azurecross

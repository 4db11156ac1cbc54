#pragma once

#include <csignal>

namespace azurecross {

/** @returns the signals that stop a daemon or make it reload its settings. */
sigset_t
GetDaemonSignals();

/**
 * Blocks the signals of a daemon in this thread and in those that it starts.
 * They stay pending until `SignalDelivery`. A program that links with the
 * target `azurecross_block_signals` does this before its first initializer.
 */
void
BlockDaemonSignals();

/** @returns whether a signal that stops a daemon has arrived and is blocked. */
bool
IsStopSignalPending();

/**
 * While it exists, this thread receives the signals of a daemon. Handlers must
 * be installed before and be removed after: a signal without a handler ends the
 * process.
 */
class SignalDelivery
{
public:
  /** Delivers the signals that are pending. */
  SignalDelivery();
  /** Restores the mask from before. */
  ~SignalDelivery();

  SignalDelivery(const SignalDelivery&) = delete;
  SignalDelivery& operator=(const SignalDelivery&) = delete;

private:
  sigset_t previous_{};
};

} // namespace azurecross

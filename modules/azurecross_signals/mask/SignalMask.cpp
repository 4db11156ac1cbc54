#include "SignalMask.h"

namespace azurecross {

sigset_t
GetDaemonSignals()
{
  sigset_t signals{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGQUIT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

void
BlockDaemonSignals()
{
  const sigset_t signals = GetDaemonSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

bool
IsStopSignalPending()
{
  sigset_t pending{};
  sigpending(&pending);
  return sigismember(&pending, SIGTERM) == 1 ||
         sigismember(&pending, SIGINT) == 1 ||
         sigismember(&pending, SIGQUIT) == 1;
}

SignalDelivery::SignalDelivery()
{
  const sigset_t signals = GetDaemonSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, &previous_);
}

SignalDelivery::~SignalDelivery()
{
  pthread_sigmask(SIG_SETMASK, &previous_, nullptr);
}

} // namespace azurecross

#pragma once

#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace azurecross {

/** Ends a silent connection before the 4 s within which changes of the tables
 * must arrive. */
inline constexpr std::chrono::seconds kUsualSilence{ 3 };

/**
 * Lets the kernel find a peer that has gone silent without closing: probes
 * each second while the connection is idle, and a limit for bytes that are not
 * acknowledged.
 *
 * @param aSilence how long the peer may be silent, in whole seconds.
 */
inline void
SetKeepAlive(int aSocket, std::chrono::seconds aSilence = kUsualSilence)
{
  constexpr int kProbeSeconds = 1;
  const int probeCount = static_cast<int>(aSilence.count());
  const auto unacknowledgedMs =
    static_cast<unsigned>(std::chrono::milliseconds(aSilence).count());
  const auto set = [aSocket](int aLevel, int aOption, auto aValue) {
    // Without the option a silent peer is noticed later; nothing else fails.
    static_cast<void>(
      setsockopt(aSocket, aLevel, aOption, &aValue, sizeof(aValue)));
  };
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kProbeSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kProbeSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, probeCount);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMs);
}

} // namespace azurecross

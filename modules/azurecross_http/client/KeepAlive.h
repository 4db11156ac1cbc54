#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace azurecross {

/**
 * Lets the kernel find a peer that has gone silent without closing: probes
 * each second while the connection is idle, and a limit for bytes that are not
 * acknowledged. Three lost probes end the connection, before the 4 s within
 * which changes of the tables must arrive.
 */
inline void
SetKeepAlive(int aSocket)
{
  constexpr int kProbeSeconds = 1;
  constexpr int kProbeCount = 3;
  constexpr unsigned kUnacknowledgedMs = 3000;
  const auto set = [aSocket](int aLevel, int aOption, auto aValue) {
    // Without the option a silent peer is noticed later; nothing else fails.
    static_cast<void>(
      setsockopt(aSocket, aLevel, aOption, &aValue, sizeof(aValue)));
  };
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kProbeSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kProbeSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kProbeCount);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMs);
}

} // namespace azurecross

#pragma once

#include <cstdint>

namespace azurecross {

/** Raises the soft limit of open files to the hard one. */
void
RaiseFileLimit();

/** @returns a listening socket on a free loopback port, or -1. */
int
ListenOnLoopback();

/** @returns the port that a socket is bound to. */
std::uint16_t
FindPort(int aSocket);

/** @returns a socket connected to a loopback port, or -1. */
int
ConnectToLoopback(std::uint16_t aPort);

/** Makes a socket non-blocking and sends small writes at once. */
void
PrepareSocket(int aSocket);

/** Adds a socket to an epoll instance for reading. */
void
WatchForReading(int aEpoll, int aSocket, std::uint64_t aData);

/** @returns the monotonic time in nanoseconds, the same in all processes. */
std::uint64_t
ReadNanoseconds();

} // namespace azurecross

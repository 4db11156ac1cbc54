#include "CopyLoop.h"

#include "Sockets.h"

#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>
#include <vector>

namespace azurecross {

namespace {

/** The same size as the entry's read buffer. */
constexpr std::size_t kReadBytes = 8192;

/** The data of an epoll event: the socket to read and the one to write. */
std::uint64_t
PackPair(int aFrom, int aTo)
{
  return (static_cast<std::uint64_t>(aFrom) << 32U) |
         static_cast<std::uint32_t>(aTo);
}

void
CopyOnce(int aEpoll, std::uint64_t aPair)
{
  const int from = static_cast<int>(aPair >> 32U);
  const int to = static_cast<int>(aPair & UINT32_MAX);
  std::array<char, kReadBytes> bytes; // NOLINT: filled by recv
  ssize_t length = ::recv(from, bytes.data(), bytes.size(), 0);
  if (length <= 0) {
    ::epoll_ctl(aEpoll, EPOLL_CTL_DEL, from, nullptr);
    ::shutdown(to, SHUT_WR);
    return;
  }
  const char* at = bytes.data();
  while (length > 0) {
    const ssize_t sent = ::send(to, at, length, MSG_NOSIGNAL);
    if (sent >= 0) {
      at += sent;
      length -= sent;
    } else if (errno == EAGAIN) {
      pollfd waiting{ to, POLLOUT, 0 };
      ::poll(&waiting, 1, 1000);
    } else {
      return;
    }
  }
}

void
RunWorker(int aEpoll)
{
  std::array<epoll_event, 128> events{};
  for (;;) {
    const int count = ::epoll_wait(aEpoll, events.data(), events.size(), -1);
    for (int at = 0; at < count; ++at) {
      CopyOnce(aEpoll, events[at].data.u64);
    }
  }
}

} // namespace

void
RunCopyLoop(int aListener,
            std::uint16_t aEnginePort,
            const BenchOptions& aOptions)
{
  std::vector<int> epolls;
  std::vector<std::thread> workers;
  for (unsigned worker = 0; worker < aOptions.workers_; ++worker) {
    epolls.push_back(::epoll_create1(EPOLL_CLOEXEC));
    workers.emplace_back(RunWorker, epolls.back());
  }
  for (std::size_t next = 0;; ++next) {
    const int caller = ::accept(aListener, nullptr, nullptr);
    if (caller < 0) {
      continue;
    }
    PrepareSocket(caller);
    const int engine = ConnectToLoopback(aEnginePort);
    const int epoll = epolls[next % epolls.size()];
    WatchForReading(epoll, engine, PackPair(engine, caller));
    WatchForReading(epoll, caller, PackPair(caller, engine));
  }
}

} // namespace azurecross

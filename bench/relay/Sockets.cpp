#include "Sockets.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ctime>

namespace azurecross {

namespace {

constexpr int kBacklog = 4096;

sockaddr_in
MakeLoopback(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  return address;
}

} // namespace

void
RaiseFileLimit()
{
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

int
ListenOnLoopback()
{
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = MakeLoopback(0);
  if (::bind(listener,
             reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(listener, kBacklog) != 0) {
    ::close(listener);
    return -1;
  }
  return listener;
}

std::uint16_t
FindPort(int aSocket)
{
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  ::getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

int
ConnectToLoopback(std::uint16_t aPort)
{
  const int connected = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = MakeLoopback(aPort);
  if (::connect(connected,
                reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(connected);
    return -1;
  }
  PrepareSocket(connected);
  return connected;
}

void
PrepareSocket(int aSocket)
{
  const int on = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  ::fcntl(aSocket, F_SETFL, ::fcntl(aSocket, F_GETFL) | O_NONBLOCK);
}

void
WatchForReading(int aEpoll, int aSocket, std::uint64_t aData)
{
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = aData;
  ::epoll_ctl(aEpoll, EPOLL_CTL_ADD, aSocket, &event);
}

std::uint64_t
ReadNanoseconds()
{
  timespec time{};
  ::clock_gettime(CLOCK_MONOTONIC, &time);
  return static_cast<std::uint64_t>(time.tv_sec) * 1000000000U +
         static_cast<std::uint64_t>(time.tv_nsec);
}

} // namespace azurecross

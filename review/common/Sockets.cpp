#include "Sockets.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t kReadBytes = 65536;
constexpr int kBacklog = 256;
constexpr int kPollMs = 50;

sockaddr_in
MakeAddress(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port_);
  if (inet_pton(AF_INET, aEndpoint.ip_.c_str(), &address.sin_addr) != 1) {
    throw std::runtime_error("not an IPv4 address: " + aEndpoint.ip_);
  }
  return address;
}

bool
WaitFor(int aDescriptor, short aEvents, Milliseconds aTimeout)
{
  pollfd entry{ aDescriptor, aEvents, 0 };
  return poll(&entry, 1, static_cast<int>(aTimeout.count())) > 0;
}

int
BindSocket(const Endpoint& aEndpoint)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = MakeAddress(aEndpoint);
  if (bind(descriptor,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    close(descriptor);
    throw std::runtime_error("cannot bind " + aEndpoint.Format());
  }
  return descriptor;
}

std::uint16_t
FindPort(int aDescriptor)
{
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(aDescriptor, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

} // namespace

Socket::Socket(Socket&& aOther) noexcept
  : descriptor_(std::exchange(aOther.descriptor_, -1))
{
}

Socket&
Socket::operator=(Socket&& aOther) noexcept
{
  if (this != &aOther) {
    Close();
    descriptor_ = std::exchange(aOther.descriptor_, -1);
  }
  return *this;
}

Socket::~Socket()
{
  Close();
}

bool
Socket::Connect(const Endpoint& aEndpoint, Milliseconds aTimeout)
{
  Close();
  descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = MakeAddress(aEndpoint);
  const int result = connect(
    descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  int error = 0;
  socklen_t length = sizeof(error);
  const bool isConnected =
    result == 0 ||
    (errno == EINPROGRESS && WaitFor(descriptor_, POLLOUT, aTimeout) &&
     getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &length) == 0 &&
     error == 0);
  if (!isConnected) {
    Close();
    return false;
  }
  fcntl(descriptor_, F_SETFL, fcntl(descriptor_, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return true;
}

bool
Socket::Send(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t sent =
      send(descriptor_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

IoResult
Socket::Receive(std::string& aBuffer, Milliseconds aTimeout)
{
  if (!WaitFor(descriptor_, POLLIN, std::max(aTimeout, Milliseconds(0)))) {
    return IoResult::TimedOut;
  }
  std::array<char, kReadBytes> bytes{};
  const ssize_t length = recv(descriptor_, bytes.data(), bytes.size(), 0);
  if (length > 0) {
    aBuffer.append(bytes.data(), static_cast<std::size_t>(length));
    return IoResult::Done;
  }
  return length == 0 ? IoResult::Ended : IoResult::Failed;
}

bool
Socket::IsQuiet() const
{
  return !WaitFor(descriptor_, POLLIN, Milliseconds(0));
}

void
Socket::Reset()
{
  if (IsOpen()) {
    const linger option{ 1, 0 };
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  }
  Close();
}

void
Socket::ShutDown()
{
  if (IsOpen()) {
    shutdown(descriptor_, SHUT_RDWR);
  }
}

void
Socket::Close()
{
  if (IsOpen()) {
    close(descriptor_);
    descriptor_ = -1;
  }
}

Listener::Listener(const Endpoint& aEndpoint, Handler aHandler)
  : endpoint_(aEndpoint)
  , handler_(std::move(aHandler))
  , descriptor_(BindSocket(aEndpoint))
{
  endpoint_.port_ = FindPort(descriptor_);
  listen(descriptor_, kBacklog);
  acceptor_ = std::thread([this] { Accept(); });
}

Listener::~Listener()
{
  Stop();
}

void
Listener::Accept()
{
  while (!isStopped_) {
    if (!WaitFor(descriptor_, POLLIN, Milliseconds(kPollMs))) {
      continue;
    }
    const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(mutex_);
    open_.push_back(accepted);
    workers_.emplace_back([this, accepted] {
      Socket socket(accepted);
      handler_(socket);
      const std::lock_guard inner(mutex_);
      std::erase(open_, accepted);
      socket.Close();
    });
  }
}

void
Listener::Stop()
{
  if (isStopped_.exchange(true)) {
    return;
  }
  acceptor_.join();
  close(descriptor_);
  {
    const std::lock_guard lock(mutex_);
    for (const int descriptor : open_) {
      shutdown(descriptor, SHUT_RDWR);
    }
  }
  for (std::thread& worker : workers_) {
    worker.join();
  }
}

std::uint16_t
FindFreePort(const std::string& aIp)
{
  const int descriptor = BindSocket({ aIp, 0 });
  const std::uint16_t port = FindPort(descriptor);
  close(descriptor);
  return port;
}

} // namespace review

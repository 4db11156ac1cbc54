#include "Net.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace rig {

namespace {

constexpr int kBacklog = 512;
constexpr int kReadBytes = 16384;

sockaddr_in
MakeAddress(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port_);
  inet_pton(AF_INET, aEndpoint.host_.c_str(), &address.sin_addr);
  return address;
}

/** @returns whether the descriptor is ready for the events in time. */
bool
WaitFor(int aDescriptor, short aEvents, Milliseconds aTimeout)
{
  pollfd poller{ aDescriptor, aEvents, 0 };
  const auto timeout = std::max<Milliseconds::rep>(aTimeout.count(), 0);
  return poll(&poller, 1, static_cast<int>(timeout)) == 1;
}

void
SetNoDelay(int aDescriptor)
{
  const int one = 1;
  setsockopt(aDescriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

Milliseconds
GetRemaining(Clock::time_point aDeadline)
{
  return std::chrono::duration_cast<Milliseconds>(aDeadline - Clock::now());
}

std::string
ToLower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
  return aText;
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

bool
Socket::Connect(const Endpoint& aEndpoint, Milliseconds aTimeout)
{
  Close();
  descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = MakeAddress(aEndpoint);
  if (connect(descriptor_,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    int error = 0;
    socklen_t size = sizeof(error);
    const bool isConnected =
      errno == EINPROGRESS && WaitFor(descriptor_, POLLOUT, aTimeout) &&
      getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
      error == 0;
    if (!isConnected) {
      Close();
      return false;
    }
  }
  SetNoDelay(descriptor_);
  return true;
}

bool
Socket::Send(const std::string& aBytes) const
{
  constexpr Milliseconds kTimeout{ 2000 };
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count = send(descriptor_,
                               aBytes.data() + sent,
                               aBytes.size() - sent,
                               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
    } else if (errno != EAGAIN || !WaitFor(descriptor_, POLLOUT, kTimeout)) {
      return false;
    }
  }
  return true;
}

int
Socket::Receive(char* aBuffer, int aSize, Milliseconds aTimeout) const
{
  if (!WaitFor(descriptor_, POLLIN, aTimeout)) {
    return -1;
  }
  return static_cast<int>(
    recv(descriptor_, aBuffer, static_cast<std::size_t>(aSize), MSG_DONTWAIT));
}

bool
Socket::IsQuiet() const
{
  return !WaitFor(descriptor_, POLLIN, Milliseconds(0));
}

void
Socket::Shutdown() const
{
  shutdown(descriptor_, SHUT_RDWR);
}

void
Socket::Close()
{
  if (descriptor_ >= 0) {
    close(descriptor_);
    descriptor_ = -1;
  }
}

std::string
HttpMessage::Find(const std::string& aName) const
{
  const auto found = headers_.find(aName);
  return found == headers_.end() ? std::string() : found->second;
}

std::string
HttpMessage::GetSecondWord() const
{
  const std::size_t begin = startLine_.find(' ');
  if (begin == std::string::npos) {
    return {};
  }
  const std::size_t end = startLine_.find(' ', begin + 1);
  return startLine_.substr(begin + 1,
                           end == std::string::npos ? end : end - begin - 1);
}

int
HttpMessage::GetStatus() const
{
  return std::atoi(GetSecondWord().c_str());
}

bool
HttpReader::Fill(Clock::time_point aDeadline)
{
  std::array<char, kReadBytes> bytes{};
  const int count =
    socket_.Receive(bytes.data(), kReadBytes, GetRemaining(aDeadline));
  if (count <= 0) {
    return false;
  }
  buffer_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

bool
HttpReader::ReadLine(std::string& aLine, Clock::time_point aDeadline)
{
  std::size_t end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(aDeadline)) {
      return false;
    }
    end = buffer_.find("\r\n");
  }
  aLine = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool
HttpReader::ReadBytes(std::size_t aCount,
                      std::string& aOut,
                      Clock::time_point aDeadline)
{
  while (buffer_.size() < aCount) {
    if (!Fill(aDeadline)) {
      return false;
    }
  }
  aOut += buffer_.substr(0, aCount);
  buffer_.erase(0, aCount);
  return true;
}

bool
HttpReader::Read(HttpMessage& aMessage, Milliseconds aTimeout)
{
  const Clock::time_point deadline = Clock::now() + aTimeout;
  aMessage = HttpMessage();
  if (!ReadLine(aMessage.startLine_, deadline)) {
    return false;
  }
  std::string line;
  while (ReadLine(line, deadline) && !line.empty()) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      return false;
    }
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    aMessage.headers_[ToLower(line.substr(0, colon))] =
      value == std::string::npos ? "" : line.substr(value);
  }
  if (!line.empty()) {
    return false;
  }
  if (aMessage.Find("transfer-encoding") != "chunked") {
    const auto length = static_cast<std::size_t>(
      std::atoll(aMessage.Find("content-length").c_str()));
    return ReadBytes(length, aMessage.body_, deadline);
  }
  for (;;) {
    if (!ReadLine(line, deadline)) {
      return false;
    }
    const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (!ReadBytes(size, aMessage.body_, deadline) ||
        !ReadLine(line, deadline)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
  }
}

std::string
FormatResponse(int aStatus,
               const std::string& aHeaders,
               const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

Listener::Listener(const std::string& aHost, Handler aHandler)
  : endpoint_{ aHost, 0 }
  , handler_(std::move(aHandler))
{
  descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = MakeAddress(endpoint_);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(descriptor_, generic, size) != 0 ||
      listen(descriptor_, kBacklog) != 0 ||
      getsockname(descriptor_, generic, &size) != 0) {
    throw std::runtime_error("cannot listen at " + aHost);
  }
  endpoint_.port_ = ntohs(address.sin_port);
  thread_ = std::thread([this] { Accept(); });
}

void
Listener::Accept()
{
  constexpr Milliseconds kPollTime{ 20 };
  while (!isStopped_) {
    if (!WaitFor(descriptor_, POLLIN, kPollTime)) {
      continue;
    }
    const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      continue;
    }
    SetNoDelay(accepted);
    const std::lock_guard lock(mutex_);
    Connection& connection = connections_.emplace_back();
    connection.socket_ = Socket(accepted);
    connection.thread_ = std::thread([this, &connection] {
      handler_(connection.socket_);
      // The socket stays until `Stop`, which refers to it.
      connection.socket_.Shutdown();
    });
  }
}

void
Listener::Stop()
{
  if (isStopped_.exchange(true)) {
    return;
  }
  thread_.join();
  close(descriptor_);
  for (Connection& connection : connections_) {
    connection.socket_.Shutdown();
  }
  for (Connection& connection : connections_) {
    connection.thread_.join();
  }
  connections_.clear();
}

} // namespace rig

#include "Net.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <system_error>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace azurecross::harness {

namespace {

constexpr int kBacklog = 1024;
constexpr std::size_t kReadBytes = 65536;

sockaddr_in
MakeAddress(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port_);
  inet_pton(AF_INET, aEndpoint.ip_.c_str(), &address.sin_addr);
  return address;
}

/** @returns whether the socket became ready for the events in time. */
bool
Wait(int aSocket, short aEvents, Clock::time_point aDeadline)
{
  const auto left =
    std::chrono::ceil<Milliseconds>(aDeadline - Clock::now()).count();
  pollfd poller{ aSocket, aEvents, 0 };
  return poll(&poller, 1, std::max(0, static_cast<int>(left))) == 1;
}

std::string
ToLower(std::string aText)
{
  std::ranges::transform(aText, aText.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return aText;
}

std::string
Trim(const std::string& aText)
{
  const std::size_t first = aText.find_first_not_of(" \t\r");
  const std::size_t last = aText.find_last_not_of(" \t\r");
  return first == std::string::npos ? ""
                                    : aText.substr(first, last - first + 1);
}

std::string
DecodeQuery(const std::string& aText)
{
  constexpr int kHexadecimal = 16;
  std::string decoded;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] == '%' && at + 2 < aText.size()) {
      decoded += static_cast<char>(
        std::strtol(aText.substr(at + 1, 2).c_str(), nullptr, kHexadecimal));
      at += 2;
    } else {
      decoded += aText[at];
    }
  }
  return decoded;
}

} // namespace

std::string
Message::Find(const std::string& aName) const
{
  const auto found = headers_.find(aName);
  return found == headers_.end() ? "" : found->second;
}

std::string
Message::GetSecondWord() const
{
  std::istringstream words(firstLine_);
  std::string first;
  std::string second;
  words >> first >> second;
  return second;
}

int
Message::GetStatus() const
{
  return std::atoi(GetSecondWord().c_str());
}

std::string
Message::GetPath() const
{
  const std::string target = GetSecondWord();
  return target.substr(0, target.find('?'));
}

std::string
Message::FindQuery(const std::string& aName) const
{
  const std::string target = GetSecondWord();
  const std::size_t begin = target.find('?');
  if (begin == std::string::npos) {
    return "";
  }
  std::istringstream pairs(target.substr(begin + 1));
  for (std::string pair; std::getline(pairs, pair, '&');) {
    if (pair.starts_with(aName + "=")) {
      return DecodeQuery(pair.substr(aName.size() + 1));
    }
  }
  return "";
}

Connection::~Connection()
{
  if (socket_ >= 0) {
    close(socket_);
  }
}

bool
Connection::Send(const std::string& aBytes) const
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t length =
      send(socket_, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (length <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(length);
  }
  return true;
}

bool
Connection::Receive(Clock::time_point aDeadline)
{
  if (!Wait(socket_, POLLIN, aDeadline)) {
    return false;
  }
  const std::size_t size = buffer_.size();
  buffer_.resize(size + kReadBytes);
  const ssize_t length = recv(socket_, buffer_.data() + size, kReadBytes, 0);
  buffer_.resize(size + static_cast<std::size_t>(std::max<ssize_t>(length, 0)));
  return length > 0;
}

bool
Connection::ReceiveUpTo(std::size_t aSize, Clock::time_point aDeadline)
{
  while (buffer_.size() < aSize) {
    if (!Receive(aDeadline)) {
      return false;
    }
  }
  return true;
}

bool
Connection::ReadChunks(std::string& aBody, Clock::time_point aDeadline)
{
  constexpr int kHexadecimal = 16;
  for (;;) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      if (!Receive(aDeadline)) {
        return false;
      }
    }
    const std::size_t size =
      std::strtoul(buffer_.substr(0, end).c_str(), nullptr, kHexadecimal);
    const std::size_t whole = end + 2 + size + 2;
    if (!ReceiveUpTo(whole, aDeadline)) {
      return false;
    }
    aBody += buffer_.substr(end + 2, size);
    buffer_.erase(0, whole);
    if (size == 0) {
      return true;
    }
  }
}

bool
Connection::Read(Message& aMessage, Milliseconds aTimeout)
{
  const Clock::time_point deadline = Clock::now() + aTimeout;
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Receive(deadline)) {
      return false;
    }
  }
  aMessage = Message();
  std::istringstream head(buffer_.substr(0, end));
  buffer_.erase(0, end + 4);
  std::getline(head, aMessage.firstLine_);
  aMessage.firstLine_ = Trim(aMessage.firstLine_);
  for (std::string line; std::getline(head, line);) {
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      aMessage.headers_[ToLower(line.substr(0, colon))] =
        Trim(line.substr(colon + 1));
    }
  }
  if (ToLower(aMessage.Find("transfer-encoding")) == "chunked") {
    return ReadChunks(aMessage.body_, deadline);
  }
  const std::size_t length =
    std::strtoul(aMessage.Find("content-length").c_str(), nullptr, 10);
  if (!ReceiveUpTo(length, deadline)) {
    return false;
  }
  aMessage.body_ = buffer_.substr(0, length);
  buffer_.erase(0, length);
  return true;
}

void
Connection::Interrupt() const
{
  shutdown(socket_, SHUT_RDWR);
}

void
Connection::ResetOnClose() const
{
  const linger reset{ 1, 0 };
  setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

int
Connect(const Endpoint& aEndpoint, Milliseconds aTimeout)
{
  const int socket =
    ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = MakeAddress(aEndpoint);
  const int result = connect(
    socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  int error = result == 0 ? 0 : errno;
  if (error == EINPROGRESS) {
    socklen_t size = sizeof(error);
    error = ETIMEDOUT;
    if (Wait(socket, POLLOUT, Clock::now() + aTimeout)) {
      getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
    }
  }
  if (error != 0) {
    close(socket);
    return -1;
  }
  fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) & ~O_NONBLOCK);
  const int isOn = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
  return socket;
}

Listener::Listener(std::string aIp, Handler aHandler)
  : endpoint_{ std::move(aIp), 0 }
  , handler_(std::move(aHandler))
{
  Open();
}

Listener::~Listener()
{
  Close();
  while (active_ > 0) {
    std::this_thread::sleep_for(Milliseconds(1));
  }
}

void
Listener::Open()
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int isOn = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof(isOn));
  sockaddr_in address = MakeAddress(endpoint_);
  socklen_t size = sizeof(address);
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  if (bind(socket, raw, size) != 0 || listen(socket, kBacklog) != 0 ||
      getsockname(socket, raw, &size) != 0) {
    throw std::system_error(
      errno, std::generic_category(), "listen on " + endpoint_.Format());
  }
  endpoint_.port_ = ntohs(address.sin_port);
  socket_ = socket;
  thread_ = std::thread([this, socket] { Accept(socket); });
}

void
Listener::Accept(int aSocket)
{
  for (;;) {
    const int accepted = accept4(aSocket, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    const int isOn = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
    ++active_;
    std::thread([this, accepted] {
      {
        Connection connection(accepted);
        {
          const std::lock_guard lock(mutex_);
          connections_.push_back(&connection);
        }
        handler_(connection);
        const std::lock_guard lock(mutex_);
        connections_.remove(&connection);
      }
      --active_;
    }).detach();
  }
}

void
Listener::Close()
{
  if (socket_ < 0) {
    return;
  }
  shutdown(socket_, SHUT_RDWR);
  thread_.join();
  close(socket_);
  socket_ = -1;
  const std::lock_guard lock(mutex_);
  for (const Connection* connection : connections_) {
    connection->ResetOnClose();
    connection->Interrupt();
  }
}

std::string
FormatResponse(int aStatus,
               const std::string& aHeaders,
               const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
MakeLoopbackIp(unsigned aNumber)
{
  constexpr unsigned kIpsPerByte = 250;
  const auto process = static_cast<unsigned>(getpid());
  return "127." + std::to_string(20 + process / kIpsPerByte % 90) + "." +
         std::to_string(process % kIpsPerByte + 1) + "." +
         std::to_string(aNumber);
}

} // namespace azurecross::harness

#include "FakeBackendServer.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <sstream>

namespace azurecross {

namespace asio = boost::asio;

std::string
FakeConnection::ReadRequest()
{
  boost::system::error_code code;
  const std::size_t head =
    asio::read_until(socket_, asio::dynamic_buffer(buffer_), "\r\n\r\n", code);
  if (code) {
    return {};
  }
  request_ = buffer_.substr(0, head);
  const std::string length = FindHeader("Content-Length");
  const std::size_t total = head + (length.empty() ? 0 : std::stoul(length));
  if (buffer_.size() < total) {
    asio::read(socket_,
               asio::dynamic_buffer(buffer_),
               asio::transfer_exactly(total - buffer_.size()),
               code);
  }
  request_ = buffer_.substr(0, total);
  buffer_.erase(0, total);
  return code ? std::string() : request_;
}

bool
FakeConnection::Send(std::string_view aText)
{
  boost::system::error_code code;
  asio::write(socket_, asio::buffer(aText.data(), aText.size()), code);
  return !code;
}

bool
FakeConnection::SendChunk(std::string_view aText)
{
  std::ostringstream chunk;
  chunk << std::hex << aText.size() << "\r\n" << aText << "\r\n";
  return Send(chunk.str());
}

bool
FakeConnection::WaitForClose()
{
  constexpr int kWaitMilliseconds = 3000;
  std::array<char, 1024> bytes{};
  for (;;) {
    pollfd waiting{ socket_.native_handle(), POLLIN, 0 };
    if (::poll(&waiting, 1, kWaitMilliseconds) <= 0) {
      return false;
    }
    boost::system::error_code code;
    socket_.read_some(asio::buffer(bytes), code);
    if (code) {
      return true;
    }
  }
}

void
FakeConnection::Abort()
{
  // Resets the connection and leaves the socket open, because the server's
  // destructor uses it from another thread.
  sockaddr nowhere{};
  nowhere.sa_family = AF_UNSPEC;
  [[maybe_unused]] const int status =
    ::connect(socket_.native_handle(), &nowhere, sizeof(nowhere));
}

std::string
FakeConnection::FindHeader(std::string_view aName) const
{
  std::istringstream lines(request_.substr(0, request_.find("\r\n\r\n")));
  std::string line;
  while (std::getline(lines, line)) {
    const std::size_t colon = line.find(": ");
    if (colon != std::string::npos &&
        boost::beast::iequals(line.substr(0, colon), aName)) {
      line.erase(line.find_last_not_of('\r') + 1);
      return line.substr(colon + 2);
    }
  }
  return {};
}

bool
FakeConnection::StartStream()
{
  return Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\nX-Request-Id: " +
              FindHeader("X-Request-Id") + "\r\n\r\n");
}

bool
FakeConnection::SendToken(std::string_view aGeneration, int aOffset)
{
  std::ostringstream event;
  event << "id: " << aOffset << "\ndata: {\"id\":\"" << aGeneration
        << "\",\"choices\":[{\"text\":\"t" << aOffset << "\"}]}\n\n";
  return SendChunk(event.str());
}

bool
FakeConnection::FinishStream()
{
  return SendChunk("data: [DONE]\n\n") && Send("0\r\n\r\n");
}

bool
FakeConnection::Answer(unsigned aStatus, std::string_view aBody)
{
  std::ostringstream answer;
  answer << "HTTP/1.1 " << aStatus
         << " Status\r\nContent-Type: application/json\r\nContent-Length: "
         << aBody.size() << "\r\nX-Request-Id: " << FindHeader("X-Request-Id")
         << "\r\n\r\n"
         << aBody;
  return Send(answer.str());
}

FakeBackendServer::FakeBackendServer(Script aScript)
  : script_(std::move(aScript))
  , acceptor_(context_, { asio::ip::address_v4::loopback(), 0 })
{
  acceptThread_ = std::thread([this] { Accept(); });
}

FakeBackendServer::~FakeBackendServer()
{
  isStopping_ = true;
  // Wakes the blocking accept.
  boost::system::error_code ignored;
  asio::ip::tcp::socket waker(context_);
  waker.connect(acceptor_.local_endpoint(), ignored);
  acceptThread_.join();
  {
    const std::lock_guard lock(mutex_);
    for (auto& socket : sockets_) {
      ::shutdown(socket.native_handle(), SHUT_RDWR);
    }
  }
  for (auto& thread : threads_) {
    thread.join();
  }
}

SocketAddress
FakeBackendServer::GetAddress() const
{
  return { "127.0.0.1", acceptor_.local_endpoint().port() };
}

void
FakeBackendServer::Accept()
{
  for (;;) {
    boost::system::error_code code;
    asio::ip::tcp::socket accepted = acceptor_.accept(code);
    if (isStopping_) {
      return;
    }
    if (code) {
      continue;
    }
    const std::lock_guard lock(mutex_);
    asio::ip::tcp::socket& socket = sockets_.emplace_back(std::move(accepted));
    ++connections_;
    threads_.emplace_back([this, &socket] {
      FakeConnection connection(socket);
      script_(connection);
      boost::system::error_code ignored;
      socket.shutdown(asio::socket_base::shutdown_both, ignored);
    });
  }
}

FakeBackendServer::Script
MakeEngineScript(std::string aGeneration, int aTokens)
{
  return [generation = std::move(aGeneration),
          aTokens](FakeConnection& aConnection) {
    while (!aConnection.ReadRequest().empty()) {
      aConnection.StartStream();
      for (int token = 0; token < aTokens; ++token) {
        aConnection.SendToken(generation, token);
      }
      aConnection.FinishStream();
    }
  };
}

} // namespace azurecross

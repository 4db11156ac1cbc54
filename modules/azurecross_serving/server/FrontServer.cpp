#include "FrontServer.h"

#include <boost/asio/co_spawn.hpp>

namespace azurecross {

namespace asio = boost::asio;

namespace {

/**
 * Delay after a failed accept, which is usually due to a lack of file
 * descriptors.
 */
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

FrontServer::FrontServer(asio::io_context& aContext,
                         const SocketAddress& aAddress,
                         ForwardServices& aServices)
  : context_(aContext)
  , services_(aServices)
  , acceptor_(aContext,
              { asio::ip::make_address(aAddress.host_), aAddress.port_ })
  , timer_(aContext)
{
}

FrontServer::~FrontServer() = default;

SocketAddress
FrontServer::GetAddress() const
{
  const auto endpoint = acceptor_.local_endpoint();
  return { endpoint.address().to_string(), endpoint.port() };
}

void
FrontServer::Start()
{
  Accept();
}

void
FrontServer::Accept()
{
  acceptor_.async_accept(
    context_, [this](const boost::system::error_code& aCode, auto aSocket) {
      if (aCode == asio::error::operation_aborted) {
        return;
      }
      if (aCode) {
        return RetryAccept();
      }
      boost::system::error_code code;
      const auto handle = aSocket.release(code);
      WorkerSocket socket(context_.get_executor());
      socket.assign(acceptor_.local_endpoint().protocol(), handle, code);
      ServeConnection(std::move(socket));
      Accept();
    });
}

void
FrontServer::RetryAccept()
{
  timer_.expires_after(kAcceptRetryDelay);
  timer_.async_wait([this](const boost::system::error_code& aCode) {
    if (!aCode) {
      Accept();
    }
  });
}

void
FrontServer::ServeConnection(WorkerSocket aSocket)
{
  if (connectionCount_ >= services_.limits_.connectionLimit_) {
    boost::system::error_code ignored;
    ConnectionClose close;
    close.reason_ = CloseReason::ConnectionLimit;
    close.unansweredBytes_ = aSocket.available(ignored);
    close.request_ = close.unansweredBytes_ > 0 ? UnansweredRequest::Partial
                                                : UnansweredRequest::None;
    close.idleLimit_ = services_.limits_.idleTimeout_;
    FrontConnection::RecordClose(services_, close);
    return;
  }
  SetKeepAlive(aSocket.native_handle());
  auto connection =
    std::make_shared<FrontConnection>(std::move(aSocket), services_);
  connections_.push_back(*connection);
  ++connectionCount_;
  asio::co_spawn(
    context_,
    [connection] { return connection->Run(); },
    [this, connection](const std::exception_ptr& aException) {
      --connectionCount_;
      if (!aException) {
        return;
      }
      try {
        std::rethrow_exception(aException);
      } catch (const std::exception& exception) {
        WriteLog(LogLevel::Error,
                 "a connection failed",
                 { { "reason", exception.what() } });
      }
    });
}

std::size_t
FrontServer::CountActiveRequests() const
{
  std::size_t busy = 0;
  for (const FrontConnection& connection : connections_) {
    busy += connection.IsBusy() ? 1 : 0;
  }
  return busy;
}

void
FrontServer::CloseIdle()
{
  for (FrontConnection& connection : connections_) {
    connection.CloseIfIdle();
  }
}

void
FrontServer::Stop()
{
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  timer_.cancel();
  for (FrontConnection& connection : connections_) {
    connection.Close();
  }
}

} // namespace azurecross

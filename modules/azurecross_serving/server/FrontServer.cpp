#include "FrontServer.h"

#include "ConnectionFilter.h"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>

namespace azurecross {

namespace asio = boost::asio;

namespace {

/**
 * Delay after a failed accept, which is usually due to a lack of file
 * descriptors.
 */
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
/** Time in which a handshake that has begun is completed: several round trips
 * to callers in the region. */
constexpr Duration kHandshakeTime = std::chrono::milliseconds(50);

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
    context_.get_executor(),
    [this](const boost::system::error_code& aCode, WorkerSocket aSocket) {
      if (aCode == asio::error::operation_aborted) {
        return;
      }
      if (aCode) {
        return RetryAccept();
      }
      ServeConnection(std::move(aSocket));
      // The accept may have succeeded just before the acceptor was closed.
      if (acceptor_.is_open()) {
        Accept();
      }
    });
}

void
FrontServer::AcceptBacklog()
{
  boost::system::error_code code;
  acceptor_.non_blocking(true, code);
  for (int count = 0; count < asio::socket_base::max_listen_connections;
       ++count) {
    WorkerSocket socket = acceptor_.accept(context_.get_executor(), code);
    if (code == asio::error::connection_aborted) {
      continue;
    }
    if (code) {
      return;
    }
    ServeConnection(std::move(socket));
  }
}

void
FrontServer::StopAccepting()
{
  if (isStopping_) {
    return;
  }
  isStopping_ = true;
  if (!IgnoreConnectionRequests(acceptor_.native_handle())) {
    WriteLog(LogLevel::Warning,
             "connections that are made at this moment may be reset",
             { { "reason", "the kernel has no socket filters" } });
    CloseAcceptor();
    return;
  }
  timer_.expires_after(kHandshakeTime);
  timer_.async_wait([this](const boost::system::error_code& aCode) {
    if (!aCode) {
      CloseAcceptor();
    }
  });
}

void
FrontServer::CloseAcceptor()
{
  // Closing the acceptor resets the connections in its backlog.
  AcceptBacklog();
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void
FrontServer::RetryAccept()
{
  if (isStopping_) {
    return;
  }
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

std::size_t
FrontServer::CountOpenConnections() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(connections_, [](const FrontConnection& aConnection) {
      return aConnection.IsOpen();
    }));
}

void
FrontServer::CloseIdle(Duration aMinIdleTime)
{
  for (FrontConnection& connection : connections_) {
    connection.CloseIfIdle(aMinIdleTime);
  }
}

void
FrontServer::RefuseQueued()
{
  for (FrontConnection& connection : connections_) {
    connection.RefuseIfOutlastsShutdown();
  }
}

void
FrontServer::EndRequests()
{
  for (FrontConnection& connection : connections_) {
    connection.EndRequest();
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

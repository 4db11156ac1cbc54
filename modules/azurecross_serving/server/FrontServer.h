#pragma once

#include "FrontConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

namespace azurecross {

/** Accepts connections of callers; runs on one thread. */
class FrontServer
{
public:
  /** Binds the address. @throws boost::system::system_error if that fails. */
  FrontServer(boost::asio::io_context& aContext,
              const SocketAddress& aAddress,
              ForwardServices& aServices);
  ~FrontServer();

  FrontServer(const FrontServer&) = delete;
  FrontServer& operator=(const FrontServer&) = delete;

  /** Starts accepting connections. */
  void Start();
  /** Accepts the connections that callers have begun to make, then no more. */
  void StopAccepting();
  /** @returns whether connections may still be accepted. */
  bool IsAccepting() const { return acceptor_.is_open(); }
  /** Closes the connections that have been without a request, read or unread,
   * for this time. */
  void CloseIdle(Duration aMinIdleTime);
  /** Refuses the requests that still wait for a backend server and would
   * outlast the daemon's shutdown. */
  void RefuseQueued();
  /** Refuses the requests that are in progress or incomplete. Streams that have
   * begun are cut. */
  void EndRequests();
  /** Stops accepting and closes all connections. */
  void Stop();

  /**
   * @returns the bound address, with the actual port if port 0 was requested.
   */
  SocketAddress GetAddress() const;
  std::size_t CountConnections() const { return connectionCount_; }
  /** @returns the number of requests in progress. */
  std::size_t CountActiveRequests() const;
  /** @returns the number of connections that may still be served. */
  std::size_t CountOpenConnections() const;

private:
  void Accept();
  /** Serves the connections in the backlog without waiting for more. */
  void AcceptBacklog();
  void CloseAcceptor();
  /** Accepts again after a delay. */
  void RetryAccept();
  /**
   * Starts a connection; closes the socket if the connection limit is reached.
   */
  void ServeConnection(WorkerSocket aSocket);

  boost::asio::io_context& context_;
  ForwardServices& services_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  boost::intrusive::list<FrontConnection,
                         boost::intrusive::constant_time_size<false>>
    connections_;
  std::size_t connectionCount_ = 0;
  bool isStopping_ = false;
};

} // namespace azurecross

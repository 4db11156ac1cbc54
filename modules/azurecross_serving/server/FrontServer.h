#pragma once

#include "FrontConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

namespace azurecross {

/** Accepts callers' connections on one thread. */
class FrontServer
{
public:
  /** Binds the address; throws `boost::system::system_error` if it can't. */
  FrontServer(boost::asio::io_context& aContext,
              const SocketAddress& aAddress,
              ForwardServices& aServices);
  ~FrontServer();

  FrontServer(const FrontServer&) = delete;
  FrontServer& operator=(const FrontServer&) = delete;

  void Start();
  /** Closes connections that wait for a further request. */
  void CloseIdle();
  /** Closes all connections and stops accepting. */
  void Stop();

  /** @returns the bound address, with the real port if 0 was asked for. */
  SocketAddress GetAddress() const;
  std::size_t CountConnections() const { return count_; }
  /** @returns how many requests are in progress. */
  std::size_t CountActiveRequests() const;

private:
  void Accept();
  void AcceptLater();
  void Serve(WorkerSocket aSocket);

  boost::asio::io_context& context_;
  ForwardServices& services_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  boost::intrusive::list<FrontConnection,
                         boost::intrusive::constant_time_size<false>>
    connections_;
  std::size_t count_ = 0;
};

} // namespace azurecross

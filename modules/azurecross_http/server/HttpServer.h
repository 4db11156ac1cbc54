#pragma once

#include "../messages/HttpMessages.h"

#include <azurecross_core/azurecross_core.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace azurecross {

/** Bounds of a server's connections. */
struct HttpServerLimits
{
  std::uint32_t headerLimitBytes_ = 16 * 1024;
  std::size_t bodyLimitBytes_ = std::size_t{ 8 } << 20;
  /** How long a request may take to arrive, or a connection may be idle. */
  Duration requestTimeout_ = std::chrono::seconds(30);
  /** How long one write may wait for the peer. */
  Duration writeTimeout_ = std::chrono::seconds(30);
};

/**
 * One request and the means to answer it. Answer with `Respond`, or with
 * `StartStream`, any number of `WritePart` and `FinishStream`.
 */
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& GetRequest() const = 0;
  virtual SocketAddress GetPeer() const = 0;

  /** Sends a whole response. */
  virtual boost::asio::awaitable<void> Respond(HttpResponse aResponse) = 0;
  /** Sends the header of a chunked response; the body is ignored. */
  virtual boost::asio::awaitable<void> StartStream(HttpResponse aResponse) = 0;
  /** Sends one chunk; @returns false when the peer is gone. */
  virtual boost::asio::awaitable<bool> WritePart(std::string_view aPart) = 0;
  /** Ends a chunked response. */
  virtual boost::asio::awaitable<void> FinishStream() = 0;
  /** @returns whether the peer has closed or reset the connection. */
  virtual bool IsPeerGone() = 0;
  /** Drops the connection without an answer or in mid-answer. */
  virtual void Abort() = 0;
};

/**
 * Accepts connections and passes each request to a handler.
 *
 * @code
 * HttpServer server(executor, address, [](HttpExchange& aExchange)
 *   -> asio::awaitable<void> {
 *     co_await aExchange.Respond(MakeJsonResponse(200, "{}"));
 * });
 * server.Start();
 * @endcode
 */
class HttpServer
{
public:
  using Handler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

  /** Binds the address; throws `boost::system::system_error` if it can't. */
  HttpServer(boost::asio::any_io_executor aExecutor,
             const SocketAddress& aAddress,
             Handler aHandler,
             HttpServerLimits aLimits = {});
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** @returns the bound address, with the real port if 0 was asked for. */
  SocketAddress GetAddress() const;
  /** Starts to accept connections. */
  void Start();
  /** Stops accepting and closes all connections. Any thread may call it. */
  void Stop();

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace azurecross

#include "HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <set>

namespace azurecross {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Tcp = asio::ip::tcp;

/** Bytes that are kept beyond a head until they are parsed, such as a chunk or
 * the start of the next request. */
constexpr std::size_t kReadAheadBytes = std::size_t{ 64 } * 1024;

HttpRequest
ConvertRequest(http::request<http::string_body>&& aRequest)
{
  HttpRequest request;
  request.method_ = std::string(aRequest.method_string());
  request.target_ = std::string(aRequest.target());
  for (const auto& field : aRequest) {
    request.headers_.emplace(std::string(field.name_string()),
                             std::string(field.value()));
  }
  request.body_ = std::move(aRequest.body());
  return request;
}

template<typename Body>
void
SetHeaders(http::response<Body>& aResponse, const HttpResponse& aSource)
{
  aResponse.version(11);
  aResponse.result(aSource.status_);
  for (const auto& [name, value] : aSource.headers_) {
    aResponse.set(name, value);
  }
}

/** One connection; serves its requests in turn. */
class Connection : public HttpExchange
{
public:
  Connection(Tcp::socket aSocket, const HttpServerLimits& aLimits)
    : stream_(std::move(aSocket))
    , buffer_(aLimits.headerLimitBytes_ + kReadAheadBytes)
    , limits_(aLimits)
  {
    boost::system::error_code ignored;
    stream_.socket().set_option(Tcp::no_delay(true), ignored);
    const auto endpoint = stream_.socket().remote_endpoint(ignored);
    peer_ = { endpoint.address().to_string(), endpoint.port() };
  }

  const HttpRequest& GetRequest() const override { return request_; }
  SocketAddress GetPeer() const override { return peer_; }

  asio::awaitable<void> Respond(HttpResponse aResponse) override
  {
    http::response<http::string_body> response;
    SetHeaders(response, aResponse);
    response.keep_alive(keepAlive_);
    response.body() = std::move(aResponse.body_);
    response.prepare_payload();
    stream_.expires_after(limits_.writeTimeout_);
    boost::system::error_code code;
    co_await http::async_write(
      stream_, response, asio::redirect_error(asio::use_awaitable, code));
    open_ = open_ && !code;
    answered_ = true;
  }

  asio::awaitable<void> StartStream(HttpResponse aResponse) override
  {
    http::response<http::empty_body> response;
    SetHeaders(response, aResponse);
    response.keep_alive(keepAlive_);
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    stream_.expires_after(limits_.writeTimeout_);
    boost::system::error_code code;
    co_await http::async_write_header(
      stream_, serializer, asio::redirect_error(asio::use_awaitable, code));
    open_ = open_ && !code;
    answered_ = true;
  }

  asio::awaitable<bool> WritePart(std::string_view aPart) override
  {
    if (!open_) {
      co_return false;
    }
    stream_.expires_after(limits_.writeTimeout_);
    boost::system::error_code code;
    co_await asio::async_write(stream_,
                               http::make_chunk(asio::buffer(aPart)),
                               asio::redirect_error(asio::use_awaitable, code));
    open_ = open_ && !code;
    co_return open_;
  }

  asio::awaitable<void> FinishStream() override
  {
    if (!open_) {
      co_return;
    }
    stream_.expires_after(limits_.writeTimeout_);
    boost::system::error_code code;
    co_await asio::async_write(stream_,
                               http::make_chunk_last(),
                               asio::redirect_error(asio::use_awaitable, code));
    open_ = open_ && !code;
  }

  bool IsPeerGone() override
  {
    char byte = 0;
    const auto length = ::recv(stream_.socket().native_handle(),
                               &byte,
                               1,
                               MSG_PEEK | MSG_DONTWAIT); // NOLINT: bit flags
    const bool isWaiting =
      length > 0 || (length < 0 && (errno == EAGAIN || errno == EINTR));
    open_ = open_ && isWaiting;
    return !open_;
  }

  void Abort() override
  {
    open_ = false;
    answered_ = true;
    // A reset, so that the peer sees a failure and not an orderly end.
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream_.socket().close(ignored);
  }

  /** Closes the socket, which ends `Run`. */
  void Close()
  {
    boost::system::error_code ignored;
    stream_.socket().close(ignored);
  }

  auto GetExecutor() { return stream_.get_executor(); }

  asio::awaitable<void> Run(const HttpServer::Handler& aHandler)
  {
    // GCC 12 reads `keepAlive_` after the awaited call when both stand in one
    // condition, so the request that asks to close would get no answer.
    while (open_ && keepAlive_) {
      const bool hasRequest = co_await ReadRequest();
      if (!hasRequest) {
        break;
      }
      answered_ = false;
      co_await aHandler(*this);
      if (!answered_) {
        Abort();
      }
    }
    boost::system::error_code ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  }

private:
  asio::awaitable<bool> ReadRequest()
  {
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits_.headerLimitBytes_);
    parser.body_limit(limits_.bodyLimitBytes_);
    stream_.expires_after(limits_.requestTimeout_);
    boost::system::error_code code;
    co_await http::async_read(stream_,
                              buffer_,
                              parser,
                              asio::redirect_error(asio::use_awaitable, code));
    if (!code) {
      keepAlive_ = parser.get().keep_alive();
      request_ = ConvertRequest(parser.release());
      co_return true;
    }
    const bool isGone = code == http::error::end_of_stream ||
                        code == beast::error::timeout ||
                        code.category() == asio::error::get_system_category();
    if (!isGone) {
      keepAlive_ = false;
      co_await Respond(MakeJsonResponse(FindRefusalStatus(code),
                                        R"({"error":{"message":")" +
                                          code.message() + R"("}})"));
    }
    co_return false;
  }

  static unsigned FindRefusalStatus(const boost::system::error_code& aCode)
  {
    if (aCode == http::error::header_limit) {
      return 431;
    }
    return aCode == http::error::body_limit ? 413 : 400;
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  HttpServerLimits limits_;
  HttpRequest request_;
  SocketAddress peer_;
  bool keepAlive_ = true;
  bool open_ = true;
  bool answered_ = false;
};

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(const asio::any_io_executor& aExecutor,
       const SocketAddress& aAddress,
       Handler aHandler,
       HttpServerLimits aLimits)
    : strand_(asio::make_strand(aExecutor))
    , acceptor_(strand_,
                { asio::ip::make_address(aAddress.host_), aAddress.port_ })
    , handler_(std::move(aHandler))
    , limits_(aLimits)
  {
  }

  SocketAddress GetAddress() const
  {
    const auto endpoint = acceptor_.local_endpoint();
    return { endpoint.address().to_string(), endpoint.port() };
  }

  void Start()
  {
    asio::co_spawn(
      strand_,
      [self = shared_from_this()] { return self->Accept(); },
      asio::detached);
  }

  void Stop()
  {
    asio::post(strand_, [self = shared_from_this()] {
      boost::system::error_code ignored;
      self->acceptor_.close(ignored);
      for (const auto& connection : self->connections_) {
        asio::post(connection->GetExecutor(),
                   [connection] { connection->Close(); });
      }
    });
  }

private:
  asio::awaitable<void> Accept()
  {
    for (;;) {
      boost::system::error_code code;
      // Each connection has a strand of its own.
      auto socket = co_await acceptor_.async_accept(
        asio::make_strand(strand_.get_inner_executor()),
        asio::redirect_error(asio::use_awaitable, code));
      if (!acceptor_.is_open()) {
        co_return;
      }
      if (!code) {
        Serve(std::make_shared<Connection>(std::move(socket), limits_));
      }
    }
  }

  void Serve(const std::shared_ptr<Connection>& aConnection)
  {
    connections_.insert(aConnection);
    asio::co_spawn(
      aConnection->GetExecutor(),
      [self = shared_from_this(), aConnection] {
        return aConnection->Run(self->handler_);
      },
      asio::bind_executor(
        strand_, [self = shared_from_this(), aConnection](std::exception_ptr) {
          self->connections_.erase(aConnection);
        }));
  }

  asio::strand<asio::any_io_executor> strand_;
  Tcp::acceptor acceptor_;
  Handler handler_;
  HttpServerLimits limits_;
  std::set<std::shared_ptr<Connection>> connections_;
};

HttpServer::HttpServer(asio::any_io_executor aExecutor,
                       const SocketAddress& aAddress,
                       Handler aHandler,
                       HttpServerLimits aLimits)
  : impl_(
      std::make_shared<Impl>(aExecutor, aAddress, std::move(aHandler), aLimits))
{
}

HttpServer::~HttpServer()
{
  impl_->Stop();
}

SocketAddress
HttpServer::GetAddress() const
{
  return impl_->GetAddress();
}

void
HttpServer::Start()
{
  impl_->Start();
}

void
HttpServer::Stop()
{
  impl_->Stop();
}

} // namespace azurecross

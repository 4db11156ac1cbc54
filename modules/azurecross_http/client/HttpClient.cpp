#include "HttpClient.h"

#include "KeepAlive.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>

namespace azurecross {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t kPartBytes = 16384;
/** Bytes that are kept until they are parsed. The parser bounds the head and
 * the body, but neither the line with the size of a chunk nor the trailer. */
constexpr std::size_t kUnparsedLimitBytes = std::size_t{ 64 } * 1024;

asio::ip::tcp::endpoint
MakeEndpoint(const SocketAddress& aAddress)
{
  return { asio::ip::make_address(aAddress.host_), aAddress.port_ };
}

http::request<http::string_body>
MakeBeastRequest(const SocketAddress& aAddress, HttpRequest aRequest)
{
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(aRequest.method_);
  request.target(aRequest.target_);
  for (const auto& [name, value] : aRequest.headers_) {
    request.set(name, value);
  }
  request.set(http::field::host, aAddress.Format());
  request.body() = std::move(aRequest.body_);
  request.prepare_payload();
  return request;
}

template<typename Fields>
HttpResponse
ConvertHeader(const http::response_header<Fields>& aHeader)
{
  HttpResponse response;
  response.status_ = aHeader.result_int();
  for (const auto& field : aHeader) {
    response.headers_.emplace(std::string(field.name_string()),
                              std::string(field.value()));
  }
  return response;
}

Error
MakeTransportError(Verdict aVerdict,
                   const SocketAddress& aAddress,
                   std::string_view aStep,
                   const boost::system::error_code& aCode)
{
  return Error{ aCode == beast::error::timeout ? ErrorCode::DeadlineExceeded
                                               : ErrorCode::BackendServerFailed,
                aVerdict,
                std::string(aStep) + " " + aAddress.Format() + ": " +
                  aCode.message(),
                {} };
}

/** A connection on which the request has been sent. */
struct SentRequest
{
  explicit SentRequest(const asio::any_io_executor& aExecutor)
    : stream_(aExecutor)
  {
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{ kUnparsedLimitBytes };
};

asio::awaitable<std::optional<Error>>
ConnectAndWrite(SentRequest& aSent,
                const SocketAddress& aAddress,
                const HttpClientLimits& aLimits,
                HttpRequest aRequest)
{
  boost::system::error_code code;
  auto token = asio::redirect_error(asio::use_awaitable, code);
  aSent.stream_.expires_after(aLimits.connectTimeout_);
  co_await aSent.stream_.async_connect(MakeEndpoint(aAddress), token);
  if (code) {
    co_return MakeTransportError(
      Verdict::NotRun, aAddress, "cannot connect to", code);
  }
  SetKeepAlive(aSent.stream_.socket().native_handle());
  auto request = MakeBeastRequest(aAddress, std::move(aRequest));
  aSent.stream_.expires_after(aLimits.answerTimeout_);
  co_await http::async_write(aSent.stream_, request, token);
  if (code) {
    co_return MakeTransportError(
      Verdict::MayHaveRun, aAddress, "cannot send to", code);
  }
  co_return std::nullopt;
}

} // namespace

HttpClient::HttpClient(asio::any_io_executor aExecutor,
                       HttpClientLimits aLimits)
  : executor_(std::move(aExecutor))
  , limits_(aLimits)
{
}

asio::awaitable<AsyncResult<HttpResponse>>
HttpClient::Send(SocketAddress aAddress, HttpRequest aRequest)
{
  const Time start = ReadMonotonicTime();
  SentRequest sent(executor_);
  if (auto error = co_await ConnectAndWrite(
        sent, aAddress, limits_, std::move(aRequest))) {
    co_return *error;
  }
  boost::system::error_code code;
  http::response_parser<http::string_body> parser;
  parser.body_limit(limits_.bodyLimitBytes_);
  const Time answerEnd = ReadMonotonicTime() + limits_.answerTimeout_;
  Time lastRead = start;
  while (!code && !parser.is_done()) {
    if (limits_.silenceTimeout_) {
      const Time readEnd =
        std::min(answerEnd, lastRead + *limits_.silenceTimeout_);
      sent.stream_.expires_after(
        std::max<Duration>(readEnd - ReadMonotonicTime(), Duration(1)));
    }
    co_await http::async_read_some(
      sent.stream_,
      sent.buffer_,
      parser,
      asio::redirect_error(asio::use_awaitable, code));
    lastRead = ReadMonotonicTime();
  }
  if (code) {
    co_return MakeTransportError(
      Verdict::MayHaveRun, aAddress, "cannot read the answer of", code);
  }
  if (!IsFinalStatus(parser.get().result_int())) {
    co_return MakeTransportError(Verdict::MayHaveRun,
                                 aAddress,
                                 "undefined status in the answer of",
                                 http::error::bad_status);
  }
  HttpResponse response = ConvertHeader(parser.get().base());
  response.body_ = std::move(parser.get().body());
  co_return response;
}

asio::awaitable<AsyncResult<HttpResponse>>
HttpClient::Stream(SocketAddress aAddress,
                   HttpRequest aRequest,
                   PartHandler aHandler)
{
  SentRequest sent(executor_);
  if (auto error = co_await ConnectAndWrite(
        sent, aAddress, limits_, std::move(aRequest))) {
    co_return *error;
  }
  boost::system::error_code code;
  auto token = asio::redirect_error(asio::use_awaitable, code);
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(boost::none);
  co_await http::async_read_header(sent.stream_, sent.buffer_, parser, token);
  if (!code && !IsFinalStatus(parser.get().result_int())) {
    code = http::error::bad_status;
  }
  std::array<char, kPartBytes> part{};
  bool wanted = true;
  while (!code && wanted && !parser.is_done()) {
    parser.get().body().data = part.data();
    parser.get().body().size = part.size();
    sent.stream_.expires_after(limits_.answerTimeout_);
    co_await http::async_read_some(sent.stream_, sent.buffer_, parser, token);
    if (code == http::error::need_buffer) {
      code = {};
    }
    const std::size_t length = part.size() - parser.get().body().size;
    if (length > 0) {
      wanted = aHandler(std::string_view(part.data(), length));
    }
  }
  if (code) {
    co_return MakeTransportError(
      Verdict::MayHaveRun, aAddress, "cannot read the answer of", code);
  }
  co_return ConvertHeader(parser.get().base());
}

} // namespace azurecross

#include "ResponseWriter.h"

#include <array>
#include <cstdio>

namespace azurecross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttp11 = 11;

/**
 * @returns the HTTP status for an error. Only a request that certainly has not
 * run gets a status that invites a retry.
 */
unsigned
SelectStatus(const Error& aError)
{
  const unsigned status = FindErrorStatus(aError.code_);
  constexpr unsigned kServerError = 500;
  constexpr unsigned kUnavailable = 503;
  constexpr unsigned kBadGateway = 502;
  if (aError.verdict_ == Verdict::NotRun) {
    return status >= kServerError ? kUnavailable : status;
  }
  // A status with Retry-After promises that the request has not run.
  return HasRetryAfter(status) ? kBadGateway : status;
}

std::string
FormatSeconds(std::chrono::milliseconds aTime)
{
  constexpr double kMillisecondsPerSecond = 1000.0;
  std::array<char, 32> text{};
  std::snprintf(text.data(),
                text.size(),
                "%.3f",
                static_cast<double>(aTime.count()) / kMillisecondsPerSecond);
  return text.data();
}

std::string
FormatChunkHeader(std::size_t aLength)
{
  std::array<char, 24> text{};
  std::snprintf(text.data(), text.size(), "%zx\r\n", aLength);
  return text.data();
}

} // namespace

ResponseWriter::ResponseWriter(ForwardServices& aServices,
                               ForwardContext& aContext,
                               CallerChannel& aCaller)
  : services_(aServices)
  , context_(aContext)
  , caller_(aCaller)
  , isChunked_(aContext.request_.version() >= kHttp11)
  , keepAlive_(aContext.request_.keep_alive())
{
}

void
ResponseWriter::AddConnectionHeader(AnswerHead& aHead)
{
  if (services_.shutdown_) {
    keepAlive_ = false;
  }
  if (!keepAlive_) {
    aHead.Add("Connection", "close");
  }
}

asio::awaitable<bool>
ResponseWriter::Write(std::string_view aFirst,
                      std::string_view aSecond,
                      std::string_view aThird)
{
  std::array<asio::const_buffer, 3> buffers = {
    asio::buffer(aFirst.data(), aFirst.size()),
    asio::buffer(aSecond.data(), aSecond.size()),
    asio::buffer(aThird.data(), aThird.size())
  };
  hasStarted_ = true;
  const bool isSent = co_await caller_.Write(buffers);
  if (!isSent) {
    keepAlive_ = false;
  }
  co_return isSent;
}

asio::awaitable<void>
ResponseWriter::WriteError(const Error& aError)
{
  const unsigned status = SelectStatus(aError);
  context_.status_ = status;
  const std::string body = FormatErrorBody(aError);
  AnswerHead head(status);
  head.Add("Content-Type", "application/json");
  head.Add("Content-Length", std::to_string(body.size()));
  head.Add("X-Azurecross-Verdict", kVerdictNames.FindName(aError.verdict_));
  if (HasRetryAfter(status)) {
    head.Add("Retry-After",
             FormatSeconds(
               aError.retryAfter_.value_or(std::chrono::milliseconds(500))));
  }
  AddConnectionHeader(head);
  const std::string text = head.Finish();
  const bool isHead = context_.request_.method() == http::verb::head;
  co_await Write(text, isHead ? std::string_view() : body, {});
}

std::string
ResponseWriter::BuildResponseHead(const BackendConnection::Head& aHead,
                                  std::string_view aFramingName,
                                  std::string_view aFramingValue)
{
  AnswerHead head(aHead.result_int());
  http::token_list connection(aHead[http::field::connection]);
  for (const auto& field : aHead) {
    if (ServiceAdapter::IsHopByHop(field.name()) ||
        field.name() == http::field::content_length ||
        connection.exists(field.name_string())) {
      continue;
    }
    head.Add({ field.name_string().data(), field.name_string().size() },
             { field.value().data(), field.value().size() });
  }
  if (!aFramingName.empty()) {
    head.Add(aFramingName, aFramingValue);
  }
  AddConnectionHeader(head);
  return head.Finish();
}

asio::awaitable<void>
ResponseWriter::WriteResponse(const BackendConnection::Head& aHead,
                              std::string_view aBody)
{
  context_.status_ = aHead.result_int();
  const std::string text =
    BuildResponseHead(aHead, "Content-Length", std::to_string(aBody.size()));
  const bool isHead = context_.request_.method() == http::verb::head;
  co_await Write(text, isHead ? std::string_view() : aBody, {});
}

void
ResponseWriter::BeginStream(const BackendConnection::Head& aHead)
{
  context_.status_ = aHead.result_int();
  if (!isChunked_) {
    // Without chunked encoding, closing the connection ends the body.
    keepAlive_ = false;
  }
  pendingHead_ = isChunked_
                   ? BuildResponseHead(aHead, "Transfer-Encoding", "chunked")
                   : BuildResponseHead(aHead, {}, {});
}

asio::awaitable<bool>
ResponseWriter::WriteStreamData(std::string_view aPart)
{
  std::string prefix = std::move(pendingHead_);
  pendingHead_.clear();
  if (!isChunked_) {
    caller_.SetEndCompletesResponse(true);
    co_return co_await Write(prefix, aPart, {});
  }
  prefix += FormatChunkHeader(aPart.size());
  co_return co_await Write(prefix, aPart, "\r\n");
}

asio::awaitable<void>
ResponseWriter::EndStream()
{
  std::string end = std::move(pendingHead_);
  pendingHead_.clear();
  if (isChunked_) {
    end += "0\r\n\r\n";
  }
  const bool isSent = co_await Write(end, {}, {});
  if (isSent) {
    caller_.SetEndCompletesResponse(false);
  }
}

} // namespace azurecross

#include "EngineAdapter.h"

#include <boost/beast/core/string.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace azurecross {

namespace http = boost::beast::http;

namespace {

/** Engines serve lower numbers first. */
constexpr int kUrgentPriority = 0;
constexpr int kLesserPriority = 10;

std::string
BuildHead(std::string_view aMethod,
          std::string_view aTarget,
          const RequestContext& aContext,
          const SocketAddress& aAddress)
{
  std::string head;
  head.reserve(256);
  head.append(aMethod).append(" ").append(aTarget).append(" HTTP/1.1\r\n");
  head.append("Host: ").append(aAddress.Format()).append("\r\n");
  head.append("X-Request-Id: ")
    .append(aContext.requestId_.GetValue())
    .append("\r\n");
  head.append("X-Azurecross-Customer: ")
    .append(aContext.customer_.GetValue())
    .append("\r\n");
  return head;
}

} // namespace

OutgoingRequest
EngineAdapter::BuildRequest(const RequestContext& aContext,
                            const SocketAddress& aAddress)
{
  boost::json::object json = aContext.generation_->json_;
  json["priority"] =
    aContext.route_.rank_ == Rank::Urgent ? kUrgentPriority : kLesserPriority;
  OutgoingRequest request;
  request.body_ = boost::json::serialize(json);
  request.head_ = BuildHead("POST", aContext.path_, aContext, aAddress);
  request.head_.append("Content-Type: application/json\r\nContent-Length: ")
    .append(std::to_string(request.body_.size()))
    .append("\r\n\r\n");
  return request;
}

OutgoingRequest
EngineAdapter::BuildResume(const RequestContext& aContext,
                           const SocketAddress& aAddress)
{
  const EventId& last = *aContext.lastEvent_;
  OutgoingRequest request;
  request.head_ = BuildHead("GET",
                            "/v1/generations/" + last.generation_ + "/events",
                            aContext,
                            aAddress);
  request.head_.append("Accept: text/event-stream\r\nLast-Event-ID: ")
    .append(std::to_string(last.offset_))
    .append("\r\n\r\n");
  return request;
}

std::optional<Error>
EngineAdapter::CheckHead(const RequestContext& aContext,
                         const BackendConnection::Head& aHead)
{
  const auto id = aHead["X-Request-Id"];
  if (id == aContext.requestId_.GetValue()) {
    return std::nullopt;
  }
  return Error{ ErrorCode::AnswerMismatched,
                Verdict::MayHaveRun,
                "the engine's answer belongs to another request",
                {} };
}

std::uint64_t
EngineAdapter::ReadUsedTokens(std::string_view aBody)
{
  boost::system::error_code error;
  const boost::json::value answer = boost::json::parse(aBody, error);
  const boost::json::value* tokens =
    error ? nullptr : answer.find_pointer("/usage/completion_tokens", error);
  if (tokens == nullptr) {
    return 0;
  }
  const std::int64_t* count = tokens->if_int64();
  return count == nullptr || *count < 0 ? 0
                                        : static_cast<std::uint64_t>(*count);
}

bool
EngineAdapter::IsEventStream(const BackendConnection::Head& aHead)
{
  constexpr std::string_view kEventStream = "text/event-stream";
  const auto type = aHead[http::field::content_type];
  return boost::beast::iequals(type.substr(0, kEventStream.size()),
                               kEventStream);
}

} // namespace azurecross

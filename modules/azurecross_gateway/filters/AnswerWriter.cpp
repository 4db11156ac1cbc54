#include "AnswerWriter.h"

#include "../backend/ServiceAdapter.h"
#include "../messages/ErrorReply.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <array>

namespace azurecross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

AnswerWriter::AnswerWriter(RequestContext& aContext,
                           CallerChannel& aCaller,
                           WorkerServices& aServices)
  : context_(aContext)
  , caller_(aCaller)
  , services_(aServices)
  , keepAlive_(aContext.request_.keep_alive())
  , isChunked_(aContext.request_.version() >= 11)
{
}

AnswerHead
AnswerWriter::StartHead(unsigned aStatus)
{
  context_.status_ = aStatus;
  keepAlive_ = keepAlive_ && !services_.running_.IsDraining();
  AnswerHead head(aStatus);
  if (!context_.requestId_.GetValue().empty()) {
    head.Add("X-Request-Id", context_.requestId_.GetValue());
  }
  head.Add("Connection", keepAlive_ ? "keep-alive" : "close");
  return head;
}

asio::awaitable<void>
AnswerWriter::WriteError(Error aError)
{
  services_.metrics_.CountFailure(aError.code_, aError.verdict_);
  const unsigned status = FindErrorStatus(aError.code_);
  const std::string body = FormatErrorBody(aError);
  AnswerHead head = StartHead(status);
  head.Add("Content-Type", "application/json");
  head.Add("Content-Length", std::to_string(body.size()));
  head.Add("X-Azurecross-Verdict", kVerdictNames.FindName(aError.verdict_));
  if (HasRetryAfter(status)) {
    head.Add("Retry-After", FormatRetryAfter(aError));
  }
  co_await Send(head.Finish(), body);
}

asio::awaitable<void>
AnswerWriter::WriteAnswer(const BackendConnection::Head& aHead,
                          std::string_view aBody)
{
  const unsigned status = aHead.result_int();
  http::token_list connection(aHead[http::field::connection]);
  AnswerHead head = StartHead(status);
  for (const auto& field : aHead) {
    const bool isOwn =
      field.name() == http::field::content_length ||
      boost::beast::iequals(field.name_string(), "X-Request-Id");
    if (!isOwn && !ServiceAdapter::IsHopByHop(field.name()) &&
        !connection.exists(field.name_string())) {
      head.Add(field.name_string(), field.value());
    }
  }
  if (HasBody(status)) {
    head.Add("Content-Length", std::to_string(aBody.size()));
  } else if (context_.request_.method() == http::verb::head &&
             aHead.count(http::field::content_length) > 0) {
    head.Add("Content-Length", aHead[http::field::content_length]);
  }
  if (status >= 400) {
    head.Add("X-Azurecross-Verdict", kVerdictNames.FindName(Verdict::Ran));
  }
  if (!offeredKey_.empty()) {
    head.Add("X-Azurecross-Operation-Key", offeredKey_);
  }
  co_await Send(head.Finish(), aBody);
}

asio::awaitable<void>
AnswerWriter::WriteReplay(const OperationAnswer& aAnswer)
{
  AnswerHead head = StartHead(aAnswer.status_);
  if (!aAnswer.contentType_.empty()) {
    head.Add("Content-Type", aAnswer.contentType_);
  }
  if (HasBody(aAnswer.status_)) {
    head.Add("Content-Length", std::to_string(aAnswer.body_.size()));
  }
  head.Add("X-Azurecross-Verdict", kVerdictNames.FindName(aAnswer.verdict_));
  head.Add("X-Azurecross-Replayed", "true");
  co_await Send(head.Finish(), aAnswer.body_);
}

asio::awaitable<void>
AnswerWriter::WriteJson(unsigned aStatus, std::string aBody)
{
  AnswerHead head = StartHead(aStatus);
  head.Add("Content-Type", "application/json");
  head.Add("Content-Length", std::to_string(aBody.size()));
  co_await Send(head.Finish(), aBody);
}

std::string
AnswerWriter::BuildStreamHead()
{
  AnswerHead head = StartHead(200);
  head.Add("Content-Type", "text/event-stream");
  head.Add("Cache-Control", "no-cache");
  if (isChunked_) {
    head.Add("Transfer-Encoding", "chunked");
  }
  return head.Finish();
}

asio::awaitable<void>
AnswerWriter::Send(std::string aHead, std::string_view aBody)
{
  if (!HasBody(context_.status_)) {
    aBody = {};
  }
  std::array<asio::const_buffer, 2> buffers = {
    asio::buffer(aHead), asio::buffer(aBody.data(), aBody.size())
  };
  co_await caller_.Write(buffers);
}

bool
AnswerWriter::HasBody(unsigned aStatus) const
{
  return context_.request_.method() != http::verb::head && aStatus != 204 &&
         aStatus != 304;
}

} // namespace azurecross

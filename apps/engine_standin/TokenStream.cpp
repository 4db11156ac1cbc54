#include "TokenStream.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace azurecross {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/** How often a quiet stream checks whether its peer has gone. */
constexpr Duration kPeerCheckInterval = std::chrono::milliseconds(100);

} // namespace

TokenStream::TokenStream(EngineModel& aModel,
                         EngineModel::GenerationPointer aGeneration,
                         std::shared_ptr<Signal> aSignal,
                         AnswerFaults aFaults)
  : model_(aModel)
  , generation_(std::move(aGeneration))
  , signal_(std::move(aSignal))
  , faults_(aFaults)
{
}

asio::awaitable<void>
TokenStream::WriteEvents(HttpExchange& aExchange, std::int64_t aOffset)
{
  model_.AttachReader(*generation_);
  const ScopeGuard detach(
    [&] { model_.DetachReader(*generation_, ReadMonotonicTime()); });
  co_await aExchange.StartStream(MakeHeader("text/event-stream"));
  const std::int64_t end = faults_.isTruncated_ ? (generation_->length_ + 1) / 2
                                                : generation_->length_;
  std::int64_t offset = aOffset;
  while (offset < end) {
    if (!co_await WaitForToken(aExchange, offset)) {
      aExchange.Abort();
      co_return;
    }
    std::string events;
    while (offset < std::min(end, generation_->produced_)) {
      events += MakeEvent(offset++);
    }
    if (!co_await aExchange.WritePart(events)) {
      co_return;
    }
  }
  if (!faults_.isTruncated_) {
    co_await aExchange.WritePart("data: [DONE]\n\n");
  }
  co_await aExchange.FinishStream();
}

asio::awaitable<void>
TokenStream::WriteAnswer(HttpExchange& aExchange)
{
  model_.AttachReader(*generation_);
  const ScopeGuard detach(
    [&] { model_.DetachReader(*generation_, ReadMonotonicTime()); });
  if (!co_await WaitForToken(aExchange, generation_->length_ - 1)) {
    aExchange.Abort();
    co_return;
  }
  HttpResponse response = MakeHeader("application/json");
  response.body_ = MakeAnswer();
  if (!faults_.isTruncated_) {
    co_await aExchange.Respond(std::move(response));
    co_return;
  }
  const std::string half = response.body_.substr(0, response.body_.size() / 2);
  co_await aExchange.StartStream(std::move(response));
  co_await aExchange.WritePart(half);
  aExchange.Abort();
}

asio::awaitable<bool>
TokenStream::WaitForToken(HttpExchange& aExchange, std::int64_t aOffset)
{
  while (generation_->produced_ <= aOffset) {
    if (generation_->IsEnded() || aExchange.IsPeerGone()) {
      co_return false;
    }
    co_await signal_->Wait(kPeerCheckInterval);
  }
  // An engine that died delivers nothing more, not even finished tokens.
  co_return generation_->state_ != GenerationState::Died;
}

HttpResponse
TokenStream::MakeHeader(std::string_view aContentType) const
{
  HttpResponse response;
  response.headers_["Content-Type"] = aContentType;
  response.headers_["X-Generation-Id"] = GetShownId();
  response.headers_["X-Request-Id"] =
    (faults_.isCrossed_ ? "crossed-" : "") + generation_->requestId_;
  return response;
}

std::string
TokenStream::GetShownId() const
{
  return (faults_.isCrossed_ ? "crossed-" : "") + generation_->id_;
}

std::string
TokenStream::MakeEvent(std::int64_t aOffset) const
{
  const std::string text = GetShownId() + ":" + std::to_string(aOffset) + " ";
  json::object choice = { { "index", 0 } };
  if (generation_->isChat_) {
    choice["delta"] = json::object{ { "content", text } };
  } else {
    choice["text"] = text;
  }
  const bool isLast = aOffset + 1 == generation_->length_;
  choice["finish_reason"] = isLast ? json::value("length") : json::value();
  const json::object event = {
    { "id", GetShownId() },
    { "object",
      generation_->isChat_ ? "chat.completion.chunk" : "text_completion" },
    { "model", generation_->model_ },
    { "choices", json::array{ std::move(choice) } }
  };
  return "id: " + std::to_string(aOffset) +
         "\ndata: " + json::serialize(event) + "\n\n";
}

std::string
TokenStream::MakeAnswer() const
{
  std::string text;
  for (std::int64_t offset = 0; offset < generation_->length_; ++offset) {
    text += GetShownId() + ":" + std::to_string(offset) + " ";
  }
  json::object choice = { { "index", 0 }, { "finish_reason", "length" } };
  if (generation_->isChat_) {
    choice["message"] =
      json::object{ { "role", "assistant" }, { "content", text } };
  } else {
    choice["text"] = text;
  }
  const json::object usage = {
    { "prompt_tokens", generation_->promptTokens_ },
    { "completion_tokens", generation_->length_ },
    { "total_tokens", generation_->promptTokens_ + generation_->length_ }
  };
  return json::serialize(json::object{
    { "id", GetShownId() },
    { "object", generation_->isChat_ ? "chat.completion" : "text_completion" },
    { "model", generation_->model_ },
    { "choices", json::array{ std::move(choice) } },
    { "usage", usage } });
}

} // namespace azurecross

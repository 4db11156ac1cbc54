#include "EngineStandin.h"

#include <standin_common/JsonFields.h>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>

namespace azurecross {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/** Resolution of token times; 2 ms is small beside 37 ms between tokens. */
constexpr Duration kStepInterval = std::chrono::milliseconds(2);
constexpr std::int64_t kDefaultMaxTokens = 16;
constexpr std::int64_t kBytesPerToken = 4;
constexpr std::string_view kGenerationsPath = "/v1/generations/";
constexpr std::string_view kEventsSuffix = "/events";

HttpResponse
MakeErrorResponse(unsigned aStatus, std::string_view aMessage)
{
  const json::object error = {
    { "error", json::object{ { "message", json::string_view(aMessage) } } }
  };
  return MakeJsonResponse(aStatus, json::serialize(error));
}

bool
TakeOne(std::int64_t& aCount)
{
  if (aCount <= 0) {
    return false;
  }
  --aCount;
  return true;
}

json::object
DescribeGeneration(const Generation& aGeneration)
{
  return { { "generation", aGeneration.id_ },
           { "request_id", aGeneration.requestId_ },
           { "customer", aGeneration.customer_ },
           { "model", aGeneration.model_ },
           { "priority", aGeneration.priority_ },
           { "prompt_tokens", aGeneration.promptTokens_ },
           { "tokens", aGeneration.produced_ },
           { "length", aGeneration.length_ },
           { "preemptions", aGeneration.preemptions_ },
           { "outcome", kGenerationStateNames.FindName(aGeneration.state_) },
           { "created_ms", aGeneration.createdMilliseconds_ },
           { "started_ms", aGeneration.startedMilliseconds_ },
           { "ended_ms", aGeneration.endedMilliseconds_ },
           { "after_leaving_ms", aGeneration.afterLeavingMilliseconds_ } };
}

/** Counts the text of a prompt or of all messages. */
std::int64_t
EstimatePromptTokens(const json::object& aBody)
{
  std::size_t bytes = ReadText(aBody, "prompt").size();
  if (const json::value* messages = aBody.if_contains("messages")) {
    bytes += json::serialize(*messages).size();
  }
  return std::max<std::int64_t>(
    1, static_cast<std::int64_t>(bytes) / kBytesPerToken);
}

} // namespace

EngineStandin::EngineStandin(asio::any_io_executor aExecutor,
                             EngineSettings aSettings,
                             OrderBook aOrders)
  : executor_(std::move(aExecutor))
  , model_(aSettings)
  , orders_(std::move(aOrders))
{
}

asio::awaitable<void>
EngineStandin::Run()
{
  for (;;) {
    co_await Sleep(kStepInterval);
    model_.Step(ReadMonotonicTime());
    std::erase_if(signals_,
                  [](const auto& aEntry) { return aEntry.second.expired(); });
  }
}

asio::awaitable<void>
EngineStandin::Handle(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.GetRequest();
  const std::string path(request.GetPath());
  if (path == "/test/faults") {
    co_await HandleFaults(aExchange);
  } else if (path == "/test/log") {
    co_await aExchange.Respond(MakeJsonResponse(200, DescribeLog()));
  } else if (model_.IsDown(ReadMonotonicTime())) {
    aExchange.Abort();
  } else if (path == "/v1/completions" || path == "/v1/chat/completions") {
    co_await HandleCompletion(aExchange, path == "/v1/chat/completions");
  } else if (path.starts_with(kGenerationsPath)) {
    co_await HandleGeneration(aExchange);
  } else if (path == "/load") {
    co_await aExchange.Respond(MakeJsonResponse(200, DescribeLoad()));
  } else if (path == "/orders") {
    co_await HandleOrder(aExchange);
  } else {
    co_await aExchange.Respond(MakeErrorResponse(404, "no such path"));
  }
}

asio::awaitable<void>
EngineStandin::HandleCompletion(HttpExchange& aExchange, bool aIsChat)
{
  const HttpRequest& request = aExchange.GetRequest();
  const auto body = ParseJsonObject(request.body_);
  if (request.method_ != "POST" || !body) {
    co_await aExchange.Respond(MakeErrorResponse(400, "not a JSON object"));
    co_return;
  }
  const Time now = ReadMonotonicTime();
  Generation description = ReadGeneration(request, *body, aIsChat);
  if (!orders_.HasModel(description.model_, now)) {
    co_await aExchange.Respond(MakeErrorResponse(404, "model not loaded"));
    co_return;
  }
  const AnswerFaults faults = TakeAnswerFaults();
  const auto generation = model_.Add(std::move(description), now);
  TokenStream stream = MakeStream(generation, faults);
  if (ReadFlag(*body, "stream", false)) {
    co_await stream.WriteEvents(aExchange, 0);
  } else {
    co_await stream.WriteAnswer(aExchange);
  }
}

Generation
EngineStandin::ReadGeneration(const HttpRequest& aRequest,
                              const json::object& aBody,
                              bool aIsChat) const
{
  Generation generation;
  generation.requestId_ = std::string(aRequest.FindHeader("X-Request-Id"));
  generation.customer_ =
    std::string(aRequest.FindHeader("X-Azurecross-Customer"));
  generation.model_ = ReadText(aBody, "model");
  generation.isChat_ = aIsChat;
  generation.cancelOnClose_ =
    aRequest.FindHeader("X-Cancel-On-Close") == "immediate";
  generation.priority_ = ReadInteger(aBody, "priority", 0);
  generation.promptTokens_ = EstimatePromptTokens(aBody);
  const std::int64_t limit = std::max<std::int64_t>(
    1, ReadInteger(aBody, "max_tokens", kDefaultMaxTokens));
  const std::int64_t length = ReadInteger(aBody, "output_tokens", limit);
  generation.length_ = std::clamp<std::int64_t>(length, 1, limit);
  return generation;
}

TokenStream
EngineStandin::MakeStream(const EngineModel::GenerationPointer& aGeneration,
                          AnswerFaults aFaults)
{
  std::shared_ptr<Signal> signal = signals_[aGeneration->id_].lock();
  if (!signal) {
    signal = std::make_shared<Signal>(executor_);
    signals_[aGeneration->id_] = signal;
    aGeneration->notify_ = [weak = std::weak_ptr(signal)] {
      if (const auto locked = weak.lock()) {
        locked->Notify();
      }
    };
  }
  return { model_, aGeneration, signal, aFaults };
}

asio::awaitable<void>
EngineStandin::HandleGeneration(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.GetRequest();
  std::string_view name = request.GetPath().substr(kGenerationsPath.size());
  const bool wantsEvents = name.ends_with(kEventsSuffix);
  if (wantsEvents) {
    name.remove_suffix(kEventsSuffix.size());
  }
  const auto generation = model_.Find(std::string(name));
  if (!generation) {
    co_await aExchange.Respond(MakeErrorResponse(404, "no such generation"));
    co_return;
  }
  if (request.method_ == "DELETE") {
    model_.Cancel(*generation, ReadMonotonicTime());
    co_await aExchange.Respond(MakeJsonResponse(200, "{}"));
    co_return;
  }
  if (request.method_ != "GET" || !wantsEvents) {
    co_await aExchange.Respond(MakeErrorResponse(404, "no such path"));
    co_return;
  }
  const std::string_view last = request.FindHeader("Last-Event-ID");
  std::int64_t lastOffset = -1;
  std::from_chars(last.data(), last.data() + last.size(), lastOffset);
  TokenStream stream = MakeStream(generation, {});
  co_await stream.WriteEvents(aExchange,
                              std::max<std::int64_t>(0, lastOffset + 1));
}

asio::awaitable<void>
EngineStandin::HandleOrder(HttpExchange& aExchange)
{
  const auto order = ParseJsonObject(aExchange.GetRequest().body_);
  if (!order) {
    co_await aExchange.Respond(MakeErrorResponse(400, "not a JSON object"));
    co_return;
  }
  const auto [status, answer] = orders_.Take(*order, ReadMonotonicTime());
  co_await aExchange.Respond(MakeJsonResponse(status, json::serialize(answer)));
}

asio::awaitable<void>
EngineStandin::HandleFaults(HttpExchange& aExchange)
{
  const auto body = ParseJsonObject(aExchange.GetRequest().body_);
  if (!body) {
    co_await aExchange.Respond(MakeErrorResponse(400, "not a JSON object"));
    co_return;
  }
  faults_.crossNext_ = ReadInteger(*body, "cross_next", faults_.crossNext_);
  faults_.truncateNext_ =
    ReadInteger(*body, "truncate_next", faults_.truncateNext_);
  const auto downTime = ReadInteger(*body, "down_ms", -1);
  if (downTime >= 0) {
    faults_.downTime_ = std::chrono::milliseconds(downTime);
  }
  ApplyModelFaults(*body);
  co_await aExchange.Respond(MakeJsonResponse(200, "{}"));
}

void
EngineStandin::ApplyModelFaults(const json::object& aBody)
{
  const Time now = ReadMonotonicTime();
  if (aBody.contains("stall_ms")) {
    model_.StallUntil(
      now + std::chrono::milliseconds(ReadInteger(aBody, "stall_ms", 0)));
  }
  if (aBody.contains("slow_factor")) {
    model_.SetSlowFactor(std::max(0.01, ReadNumber(aBody, "slow_factor", 1)));
  }
  if (aBody.contains("die_after_tokens")) {
    model_.DieAfterTokens(ReadInteger(aBody, "die_after_tokens", 0),
                          faults_.downTime_);
  }
  if (aBody.contains("leaving")) {
    model_.SetLeaving(ReadFlag(aBody, "leaving", false));
  }
  if (ReadFlag(aBody, "die", false)) {
    model_.Die(now, now + faults_.downTime_);
  }
}

AnswerFaults
EngineStandin::TakeAnswerFaults()
{
  AnswerFaults faults;
  faults.isCrossed_ = TakeOne(faults_.crossNext_);
  faults.isTruncated_ = TakeOne(faults_.truncateNext_);
  return faults;
}

std::string
EngineStandin::DescribeLoad()
{
  json::object load = { { "state", model_.IsLeaving() ? "leaving" : "live" },
                        { "running", model_.CountRunning() },
                        { "waiting", model_.CountWaiting() },
                        { "memory_used_tokens", model_.CountMemoryUsed() },
                        { "memory_total_tokens",
                          model_.GetSettings().memoryTokens_ },
                        { "batch_limit", model_.GetSettings().batchLimit_ },
                        { "preemptions", model_.CountPreemptions() } };
  orders_.Describe(load, ReadMonotonicTime());
  return json::serialize(load);
}

std::string
EngineStandin::DescribeLog() const
{
  json::array generations;
  for (const auto& generation : model_.GetRecord()) {
    generations.emplace_back(DescribeGeneration(*generation));
  }
  return json::serialize(
    json::object{ { "generations", std::move(generations) },
                  { "orders", orders_.GetRecord() },
                  { "preemptions", model_.CountPreemptions() } });
}

} // namespace azurecross

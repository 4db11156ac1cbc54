#include "ServiceStandin.h"

#include <standin_common/JsonFields.h>
#include <standin_common/Signal.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace azurecross {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/** Takes one of a fault's remaining uses; @returns whether there was one. */
bool
TakeOne(std::int64_t& aCount)
{
  if (aCount <= 0) {
    return false;
  }
  --aCount;
  return true;
}

json::string
MakeJsonText(std::string_view aText)
{
  return json::string(json::string_view(aText));
}

} // namespace

ServiceStandin::ServiceStandin(Duration aAnswerDelay)
  : answerDelay_(aAnswerDelay)
{
}

asio::awaitable<void>
ServiceStandin::Handle(HttpExchange& aExchange)
{
  if (aExchange.GetRequest().GetPath().starts_with("/test/")) {
    co_await HandleTest(aExchange);
  } else {
    co_await RunCall(aExchange);
  }
}

asio::awaitable<void>
ServiceStandin::HandleTest(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.GetRequest();
  HttpResponse response = MakeJsonResponse(404, "{}");
  if (request.GetPath() == "/test/log") {
    const json::object log = { { "runs", runs_ },
                               { "reads", readCount_ },
                               { "leaving_since_ms", leavingSince_ } };
    response = MakeJsonResponse(200, json::serialize(log));
  } else if (request.GetPath() == "/test/faults") {
    const bool isValid = SetFaults(request.body_);
    response = MakeJsonResponse(isValid ? 200 : 400, "{}");
  }
  co_await aExchange.Respond(std::move(response));
}

asio::awaitable<void>
ServiceStandin::RunCall(HttpExchange& aExchange)
{
  if (IsDown()) {
    aExchange.Abort();
    co_return;
  }
  const HttpRequest& request = aExchange.GetRequest();
  const bool isRead = request.method_ == "GET" || request.method_ == "HEAD";
  if (TakeOne(faults_.dieBeforeRunning_)) {
    StartDownTime();
    aExchange.Abort();
    co_return;
  }
  const std::uint64_t life = life_;
  std::size_t run = 0;
  if (isRead) {
    ++readCount_;
  } else {
    run = Record(request);
  }
  const bool isCrossed = TakeOne(faults_.crossNext_);
  const std::string requestId(request.FindHeader("X-Request-Id"));
  const std::string otherId = std::exchange(lastRequestId_, requestId);
  if (TakeOne(faults_.dieBeforeAnswer_)) {
    StartDownTime();
    aExchange.Abort();
    co_return;
  }
  const Duration delay = answerDelay_ + faults_.delay_;
  if (delay > Duration::zero()) {
    co_await Sleep(delay);
  }
  if (life != life_) {
    aExchange.Abort();
    co_return;
  }
  const json::object answer = { { "run", run },
                                { "path", MakeJsonText(request.GetPath()) },
                                { "request_id", requestId },
                                { "echo", MakeJsonText(request.body_) } };
  HttpResponse response = MakeJsonResponse(200, json::serialize(answer));
  response.headers_["X-Request-Id"] =
    isCrossed ? "crossed-" + otherId : requestId;
  co_await Answer(aExchange, std::move(response));
}

asio::awaitable<void>
ServiceStandin::Answer(HttpExchange& aExchange, HttpResponse aResponse)
{
  if (!TakeOne(faults_.truncateNext_)) {
    co_await aExchange.Respond(std::move(aResponse));
    co_return;
  }
  const std::string half =
    aResponse.body_.substr(0, aResponse.body_.size() / 2);
  co_await aExchange.StartStream(std::move(aResponse));
  co_await aExchange.WritePart(half);
  aExchange.Abort();
}

bool
ServiceStandin::SetFaults(std::string_view aBody)
{
  const auto body = ParseJsonObject(aBody);
  if (!body) {
    return false;
  }
  const auto readMilliseconds = [&](const char* aName, Duration aDefault) {
    const auto count = ReadInteger(*body, aName, -1);
    return count < 0 ? aDefault : Duration(std::chrono::milliseconds(count));
  };
  faults_.dieBeforeRunning_ =
    ReadInteger(*body, "die_before_running", faults_.dieBeforeRunning_);
  faults_.dieBeforeAnswer_ =
    ReadInteger(*body, "die_before_answer", faults_.dieBeforeAnswer_);
  faults_.crossNext_ = ReadInteger(*body, "cross_next", faults_.crossNext_);
  faults_.truncateNext_ =
    ReadInteger(*body, "truncate_next", faults_.truncateNext_);
  faults_.delay_ = readMilliseconds("delay_ms", faults_.delay_);
  faults_.downTime_ = readMilliseconds("down_ms", faults_.downTime_);
  if (body->contains("leaving")) {
    leavingSince_ =
      ReadFlag(*body, "leaving", false) ? ReadUnixMilliseconds() : 0;
  }
  if (ReadFlag(*body, "die", false)) {
    StartDownTime();
  }
  return true;
}

std::size_t
ServiceStandin::Record(const HttpRequest& aRequest)
{
  const std::int64_t now = ReadUnixMilliseconds();
  json::object run = {
    { "method", aRequest.method_ },
    { "target", aRequest.target_ },
    { "request_id", MakeJsonText(aRequest.FindHeader("X-Request-Id")) },
    { "idempotency_key", MakeJsonText(aRequest.FindHeader("Idempotency-Key")) },
    { "operation_key",
      MakeJsonText(aRequest.FindHeader("X-Azurecross-Operation-Key")) },
    { "customer", MakeJsonText(aRequest.FindHeader("X-Azurecross-Customer")) },
    { "body", aRequest.body_ },
    { "started_ms", now }
  };
  run["after_leaving_ms"] = leavingSince_ > 0 ? now - leavingSince_ : -1;
  runs_.emplace_back(std::move(run));
  return runs_.size();
}

void
ServiceStandin::StartDownTime()
{
  ++life_;
  downUntil_ = ReadMonotonicTime() + faults_.downTime_;
}

bool
ServiceStandin::IsDown() const
{
  return ReadMonotonicTime() < downUntil_;
}

} // namespace azurecross

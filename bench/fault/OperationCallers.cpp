#include "Callers.h"
#include "checks/RecordChecks.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace azurecross {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr int kAttemptLimit = 6;

enum class KeyUse
{
  CallerKey,
  IssuedKey,
  NoKey,
};

/** @returns an issued key, or an empty text if no entry gave one. */
asio::awaitable<std::string>
FetchKey(RunState& aState)
{
  const SocketAddress address = aState.DrawEntry().callers_;
  ++aState.figures_.requests_;
  const json::value answer = co_await aState.deployment_.Call(
    address, "POST", "/v1/operation-keys", "{}");
  if (!answer.is_object() || !answer.as_object().contains("key")) {
    co_return std::string();
  }
  co_return std::string(answer.at("key").as_string());
}

/** @returns whether the operation has its answer. */
asio::awaitable<bool>
SendAttempt(RunState& aState, OperationRecord& aRecord, std::string aKey)
{
  HttpClientLimits limits;
  limits.answerTimeout_ = std::chrono::seconds(4);
  HttpClient client(co_await asio::this_coro::executor, limits);
  EntryProcess& entry = aState.DrawEntry();
  const int starts = entry.starts_;
  const SocketAddress address = entry.callers_;
  AttemptRecord attempt;
  attempt.requestId_ = "operation-" + std::to_string(aState.nextName_++);
  HttpRequest request;
  request.method_ = "POST";
  request.target_ = "/book";
  request.headers_["X-Request-Id"] = attempt.requestId_;
  request.headers_["X-Azurecross-Customer"] = "bench";
  if (!aKey.empty()) {
    request.headers_["Idempotency-Key"] = aKey;
  }
  request.body_ = aRecord.body_;
  ++aState.figures_.requests_;
  aRecord.attempts_.push_back(attempt);
  auto call = client.Send(address, std::move(request));
  const auto response = co_await std::move(call);
  AttemptRecord& ended = aRecord.attempts_.back();
  ended.endedMilliseconds_ = ReadUnixMilliseconds();
  if (response.has_error()) {
    NoteLostConnection(
      aState, entry, starts, response.error(), attempt.requestId_);
    co_return false;
  }
  ended.verdict_ = ReadVerdict(*response);
  if (response->status_ != 200 || !ended.verdict_.empty()) {
    co_return false;
  }
  CheckAnswer(aRecord,
              response->FindHeader("X-Request-Id"),
              response->body_,
              aState.figures_);
  co_return true;
}

} // namespace

asio::awaitable<void>
RunOperationCaller(RunState& aState)
{
  ++aState.active_;
  while (!aState.IsOver()) {
    const auto use = static_cast<KeyUse>(aState.random_.DrawBelow(3));
    OperationRecord record;
    record.body_ = "booking " + std::to_string(aState.nextName_++);
    std::string key;
    if (use == KeyUse::CallerKey) {
      key = "own-" + std::to_string(aState.nextName_++);
    } else if (use == KeyUse::IssuedKey) {
      key = co_await FetchKey(aState);
    }
    // Without a key a repeat could be a second run, so there is none.
    const int limit = key.empty() ? 1 : kAttemptLimit;
    for (int attempt = 0; attempt < limit && !record.isAnswered_; ++attempt) {
      record.isAnswered_ = co_await SendAttempt(aState, record, key);
      co_await Sleep(std::chrono::milliseconds(record.isAnswered_ ? 20 : 400));
    }
    if (record.isAnswered_) {
      ++aState.figures_.operationsAnswered_;
    } else {
      ++aState.figures_.operationsUnknown_;
    }
    aState.operations_.push_back(std::move(record));
  }
  --aState.active_;
}

} // namespace azurecross

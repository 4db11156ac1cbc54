#include "Callers.h"
#include "checks/TokenChecker.h"

namespace azurecross {

namespace {

namespace asio = boost::asio;

constexpr int kConnectionLimit = 8;
constexpr std::int64_t kShortestOutput = 10;
constexpr std::uint64_t kOutputRange = 110;

HttpRequest
MakeStreamRequest(const StreamRecord& aRecord, const std::string& aLastEventId)
{
  HttpRequest request;
  request.method_ = "POST";
  request.target_ = "/v1/chat/completions";
  request.headers_["Content-Type"] = "application/json";
  request.headers_["X-Request-Id"] = aRecord.requestId_;
  request.headers_["X-Azurecross-Customer"] = "bench";
  if (!aLastEventId.empty()) {
    request.headers_["Last-Event-ID"] = aLastEventId;
  }
  request.body_ =
    R"({"model":"m","stream":true,"messages":[{"role":"user","content":"plan"}],)"
    R"("max_tokens":)" +
    std::to_string(aRecord.wanted_) + "}";
  return request;
}

/** Follows one generation over as many connections as it takes. */
asio::awaitable<void>
FollowStream(RunState& aState, StreamRecord& aRecord)
{
  HttpClient client(co_await asio::this_coro::executor);
  TokenChecker checker(aState.figures_, aRecord);
  for (int connection = 0; connection < kConnectionLimit; ++connection) {
    EntryProcess& entry = aState.DrawEntry();
    const int starts = entry.starts_;
    const SocketAddress address = entry.callers_;
    HttpRequest request = MakeStreamRequest(aRecord, checker.GetLastEventId());
    ++aState.figures_.requests_;
    aState.figures_.streamsResumed_ += checker.GetLastEventId().empty() ? 0 : 1;
    checker.StartConnection();
    auto call =
      client.Stream(address, std::move(request), [&](std::string_view aPart) {
        checker.Take(aPart);
        return true;
      });
    const auto response = co_await std::move(call);
    if (response.has_error()) {
      NoteLostConnection(
        aState, entry, starts, response.error(), aRecord.requestId_);
    } else if (response->status_ == 200 &&
               response->FindHeader("X-Request-Id") != aRecord.requestId_) {
      ++aState.figures_.crossedAnswers_;
      aState.figures_.AddExample("answer of another request for " +
                                 aRecord.requestId_);
    }
    if (checker.IsDone()) {
      checker.CheckEnd();
      aRecord.isComplete_ = true;
      co_return;
    }
    // Without a token a repeat is a new generation, as a new request is.
    if (checker.GetLastEventId().empty() && response.has_value() &&
        ReadVerdict(*response) != "not_run") {
      co_return;
    }
    co_await Sleep(std::chrono::milliseconds(300));
  }
}

} // namespace

asio::awaitable<void>
RunStreamCaller(RunState& aState)
{
  ++aState.active_;
  while (!aState.IsOver()) {
    StreamRecord record;
    record.requestId_ = "stream-" + std::to_string(aState.nextName_++);
    record.wanted_ =
      kShortestOutput +
      static_cast<std::int64_t>(aState.random_.DrawBelow(kOutputRange));
    co_await FollowStream(aState, record);
    if (record.isComplete_) {
      ++aState.figures_.streamsCompleted_;
    }
    aState.streams_.push_back(std::move(record));
  }
  --aState.active_;
}

} // namespace azurecross

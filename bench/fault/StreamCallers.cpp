#include "Callers.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <charconv>

namespace azurecross {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr int kConnectionLimit = 8;
constexpr std::int64_t kShortestOutput = 10;
constexpr std::uint64_t kOutputRange = 110;

/** Splits a stream into events and checks the tokens in them. */
class TokenChecker
{
public:
  TokenChecker(RunState& aState, StreamRecord& aRecord)
    : figures_(aState.figures_)
    , record_(aRecord)
  {
  }

  /** Drops the rest of a connection that ended in the middle of an event. */
  void StartConnection() { rest_.clear(); }

  void Take(std::string_view aPart)
  {
    rest_ += aPart;
    std::size_t end = 0;
    while ((end = rest_.find("\n\n")) != std::string::npos) {
      TakeEvent(rest_.substr(0, end));
      rest_.erase(0, end + 2);
    }
  }

  const std::string& GetLastEventId() const { return lastEventId_; }
  bool IsDone() const { return isDone_; }

private:
  void TakeEvent(const std::string& aEvent)
  {
    std::string data;
    std::string id;
    std::size_t start = 0;
    while (start < aEvent.size()) {
      const std::size_t end = std::min(aEvent.find('\n', start), aEvent.size());
      const std::string line = aEvent.substr(start, end - start);
      if (line.starts_with("data: ")) {
        data = line.substr(6);
      } else if (line.starts_with("id: ")) {
        id = line.substr(4);
      }
      start = end + 1;
    }
    if (data == "[DONE]") {
      isDone_ = true;
      return;
    }
    boost::system::error_code code;
    const json::value value = json::parse(data, code);
    if (code || !value.is_object() || !value.as_object().contains("choices")) {
      return;
    }
    lastEventId_ = id;
    TakeToken(std::string(
      value.at("choices").at(0).at("delta").at("content").as_string()));
  }

  void TakeToken(const std::string& aText)
  {
    const std::size_t colon = aText.find(':');
    const std::string generation = aText.substr(0, colon);
    std::int64_t offset = -1;
    std::from_chars(
      aText.data() + colon + 1, aText.data() + aText.size(), offset);
    if (generation.starts_with("crossed-")) {
      ++figures_.crossedAnswers_;
      figures_.AddExample("foreign token " + aText + " in " +
                          record_.requestId_);
      return;
    }
    if (record_.generation_.empty()) {
      record_.generation_ = generation;
    }
    if (generation != record_.generation_) {
      ++figures_.tokensFromSecondGeneration_;
      figures_.AddExample("token " + aText + " after generation " +
                          record_.generation_);
      return;
    }
    if (offset < record_.received_) {
      ++figures_.tokensRepeated_;
      figures_.AddExample("repeated token " + aText);
      return;
    }
    if (offset > record_.received_) {
      figures_.tokensLost_ += offset - record_.received_;
      figures_.AddExample("tokens lost before " + aText);
    }
    record_.received_ = offset + 1;
    ++figures_.tokens_;
  }

  Figures& figures_;
  StreamRecord& record_;
  std::string rest_;
  std::string lastEventId_;
  bool isDone_ = false;
};

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
  TokenChecker checker(aState, aRecord);
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
      const std::int64_t missing = record.wanted_ - record.received_;
      if (missing > 0) {
        aState.figures_.tokensLost_ += missing;
        aState.figures_.AddExample("complete stream without its last tokens: " +
                                   record.requestId_);
      }
    }
    aState.streams_.push_back(std::move(record));
  }
  --aState.active_;
}

} // namespace azurecross

#include "PlatformStandin.h"

#include "StandinCodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace azurecross {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kLeaseTick{ 50 };
constexpr std::string_view kStorePrefix = "/v3/";
constexpr std::string_view kTestPrefix = "/test/";
constexpr int kGrpcInvalidArgument = 3;
constexpr int kGrpcNotFound = 5;

HttpResponse
MakeErrorResponse(const Error& aError)
{
  const bool isUnknown = aError.code_ == ErrorCode::OperationUnknown;
  return MakeJsonResponse(
    isUnknown ? 404 : 400,
    SerializeEtcdError(isUnknown ? kGrpcNotFound : kGrpcInvalidArgument,
                       aError.message_));
}

/** @returns the function's text as the answer, or its error. */
template<typename Function>
HttpResponse
Answer(Function aFunction)
{
  const auto text = CaptureResult(aFunction);
  return text.has_error() ? MakeErrorResponse(text.error())
                          : MakeJsonResponse(200, *text);
}

bool
IsWrite(std::string_view aPath)
{
  return aPath == "/v3/kv/txn" || aPath == "/v3/lease/grant" ||
         aPath == "/v3/lease/revoke";
}

asio::awaitable<void>
Wait(asio::steady_timer& aTimer)
{
  boost::system::error_code ignored;
  co_await aTimer.async_wait(
    asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

PlatformStandin::PlatformStandin(asio::any_io_executor aExecutor,
                                 const SocketAddress& aAddress)
  : executor_(aExecutor)
  , leaseTimer_(aExecutor)
  , server_(aExecutor, aAddress, [this](HttpExchange& aExchange) {
    return Handle(aExchange);
  })
{
  backup_ = store_.MakeBackup();
}

void
PlatformStandin::Start()
{
  server_.Start();
  asio::co_spawn(
    executor_, [this] { return ExpireLeases(); }, asio::detached);
}

void
PlatformStandin::Stop()
{
  server_.Stop();
  asio::post(executor_, [this] {
    isStopped_ = true;
    leaseTimer_.cancel();
    WakeWatches();
  });
}

PlatformStandin::Call
PlatformStandin::Handle(HttpExchange& aExchange)
{
  const std::string path(aExchange.GetRequest().GetPath());
  if (path.starts_with(kTestPrefix)) {
    HttpResponse response = HandleTest(aExchange.GetRequest());
    co_await aExchange.Respond(std::move(response));
    co_return;
  }
  CountCall(path);
  co_await Delay();
  if (path == "/v1/vms") {
    co_await HandleVms(aExchange);
  } else if (path.starts_with(kStorePrefix)) {
    co_await HandleStore(aExchange, path);
  } else {
    HttpResponse response = MakeJsonResponse(404, "{}");
    co_await aExchange.Respond(std::move(response));
  }
}

PlatformStandin::Call
PlatformStandin::Delay()
{
  if (faults_.delay_.count() == 0) {
    co_return;
  }
  asio::steady_timer timer(executor_);
  timer.expires_after(faults_.delay_);
  co_await Wait(timer);
}

PlatformStandin::Call
PlatformStandin::HandleStore(HttpExchange& aExchange, std::string_view aPath)
{
  if (faults_.isStoreDown_) {
    ++counts_.refused_;
    aExchange.Abort();
    co_return;
  }
  if (aPath == "/v3/watch") {
    co_await HandleWatch(aExchange);
    co_return;
  }
  HttpResponse response = RunStoreCall(aExchange.GetRequest(), aPath);
  WakeWatches();
  if (IsWrite(aPath) && faults_.loseAnswers_ > 0) {
    --faults_.loseAnswers_;
    aExchange.Abort();
    co_return;
  }
  co_await aExchange.Respond(std::move(response));
}

HttpResponse
PlatformStandin::RunStoreCall(const HttpRequest& aRequest,
                              std::string_view aPath)
{
  const std::string& body = aRequest.body_;
  return Answer([&]() -> Result<std::string> {
    if (aPath == "/v3/kv/range") {
      BOOST_LEAF_AUTO(request, ParseRangeRequest(body));
      BOOST_LEAF_AUTO(answer, store_.Range(request));
      return SerializeRangeAnswer(answer);
    }
    if (aPath == "/v3/kv/txn") {
      BOOST_LEAF_AUTO(transaction, ParseTransaction(body));
      BOOST_LEAF_AUTO(answer, store_.Commit(transaction));
      return SerializeTransactionAnswer(transaction, answer);
    }
    if (aPath == "/v3/lease/grant") {
      BOOST_LEAF_AUTO(timeToLive, ParseLeaseGrantRequest(body));
      return SerializeLeaseAnswer(
        store_.GrantLease(timeToLive, ReadMonotonicTime()),
        store_.GetRevision());
    }
    if (aPath == "/v3/lease/keepalive") {
      BOOST_LEAF_AUTO(lease, ParseLeaseRequest(body));
      return SerializeKeepaliveAnswer(
        store_.KeepLease(lease, ReadMonotonicTime()), store_.GetRevision());
    }
    if (aPath == "/v3/lease/revoke") {
      BOOST_LEAF_AUTO(lease, ParseLeaseRequest(body));
      BOOST_LEAF_AUTO(answer, store_.RevokeLease(lease));
      return SerializeLeaseAnswer(answer, store_.GetRevision());
    }
    return MakeFailure(
      ErrorCode::OperationUnknown, Verdict::NotRun, "unknown call");
  });
}

PlatformStandin::Call
PlatformStandin::HandleWatch(HttpExchange& aExchange)
{
  const auto request = CaptureResult(
    [&] { return ParseWatchRequest(aExchange.GetRequest().body_); });
  if (request.has_error()) {
    HttpResponse response = MakeErrorResponse(request.error());
    co_await aExchange.Respond(std::move(response));
    co_return;
  }
  HttpResponse header = MakeJsonResponse(200, "");
  co_await aExchange.StartStream(std::move(header));
  const std::string created = SerializeWatchCreated(store_.GetRevision());
  if (!co_await aExchange.WritePart(created)) {
    co_return;
  }
  WatchRequest watch = *request;
  if (watch.startRevision_ == 0) {
    watch.startRevision_ = store_.GetRevision() + 1;
  }
  co_await SendEvents(aExchange, std::move(watch));
}

PlatformStandin::Call
PlatformStandin::SendEvents(HttpExchange& aExchange, WatchRequest aRequest)
{
  const std::uint64_t period = period_;
  while (!isStopped_ && period == period_) {
    if (aRequest.startRevision_ < store_.GetCompactRevision()) {
      const std::string compacted = SerializeWatchCompacted(
        store_.GetRevision(), store_.GetCompactRevision());
      co_await aExchange.WritePart(compacted);
      co_await aExchange.FinishStream();
      co_return;
    }
    const std::vector<KeyEvent> events = store_.CollectEvents(aRequest);
    const std::int64_t revision = store_.GetRevision();
    aRequest.startRevision_ = std::max(aRequest.startRevision_, revision + 1);
    if (!events.empty()) {
      const std::string part = SerializeWatchEvents(events, revision);
      co_await Delay();
      if (!co_await aExchange.WritePart(part)) {
        co_return;
      }
      continue;
    }
    asio::steady_timer timer(executor_, asio::steady_timer::time_point::max());
    waiting_.insert(&timer);
    co_await Wait(timer);
    waiting_.erase(&timer);
  }
  aExchange.Abort();
}

void
PlatformStandin::WakeWatches()
{
  for (asio::steady_timer* timer : waiting_) {
    timer->cancel();
  }
}

PlatformStandin::Call
PlatformStandin::HandleVms(HttpExchange& aExchange)
{
  if (faults_.isVmListDown_) {
    ++counts_.refused_;
    aExchange.Abort();
    co_return;
  }
  const HttpRequest& request = aExchange.GetRequest();
  HttpResponse response;
  if (request.method_ == "PUT") {
    response = Answer([&]() -> Result<std::string> {
      BOOST_LEAF_AUTO(list, ParseVmList(request.body_));
      list.version_ = vms_.version_ + 1;
      vms_ = std::move(list);
      return SerializeVmList(vms_);
    });
  } else {
    response = MakeJsonResponse(200, SerializeVmList(vms_));
  }
  co_await aExchange.Respond(std::move(response));
}

HttpResponse
PlatformStandin::HandleTest(const HttpRequest& aRequest)
{
  const std::string_view path = aRequest.GetPath();
  if (path == "/test/faults") {
    return Answer([&]() -> Result<std::string> {
      if (aRequest.method_ == "PUT") {
        BOOST_LEAF_ASSIGN(faults_, ParseFaults(aRequest.body_));
        period_ += faults_.isStoreDown_ ? 1 : 0;
        WakeWatches();
      }
      return SerializeFaults(faults_);
    });
  }
  if (path == "/test/counts") {
    return MakeJsonResponse(200, SerializeCounts(counts_));
  }
  if (path == "/test/snapshot" && aRequest.method_ == "POST") {
    backup_ = store_.MakeBackup();
  } else if (path == "/test/restore" && aRequest.method_ == "POST") {
    store_.Restore(backup_);
    ++period_;
    WakeWatches();
  } else if (path == "/test/compact" && aRequest.method_ == "POST") {
    store_.Compact(store_.GetRevision() + 1);
  } else {
    return MakeJsonResponse(404, "{}");
  }
  return MakeJsonResponse(200, "{}");
}

PlatformStandin::Call
PlatformStandin::ExpireLeases()
{
  while (!isStopped_) {
    leaseTimer_.expires_after(kLeaseTick);
    co_await Wait(leaseTimer_);
    const std::int64_t before = store_.GetRevision();
    store_.ExpireLeases(ReadMonotonicTime());
    if (store_.GetRevision() != before) {
      WakeWatches();
    }
  }
}

void
PlatformStandin::CountCall(std::string_view aPath)
{
  if (aPath == "/v3/kv/range") {
    ++counts_.range_;
  } else if (aPath == "/v3/kv/txn") {
    ++counts_.txn_;
  } else if (aPath == "/v3/watch") {
    ++counts_.watch_;
  } else if (aPath == "/v1/vms") {
    ++counts_.vms_;
  } else if (aPath.starts_with("/v3/lease/")) {
    ++counts_.lease_;
  }
}

} // namespace azurecross

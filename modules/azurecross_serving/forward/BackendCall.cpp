#include "BackendCall.h"

namespace azurecross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/**
 * A reachable server accepts a connection within a few milliseconds. After this
 * timeout the request can still reach another server in time.
 */
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
/**
 * Idle connections are kept for this fraction of the time that the server
 * announces, because the server may close a connection while a request is in
 * transit.
 */
constexpr double kIdleTimeFraction = 0.5;
/** Idle time of connections whose server announces none. */
constexpr Duration kDefaultIdleTime = std::chrono::milliseconds(2000);
/**
 * A network partition lasts several seconds, and the events that a generation
 * produces meanwhile arrive after it; the caller waits four times the time to
 * the first event. A shorter timeout would lose the stream.
 */
constexpr std::chrono::seconds kGenerationKeepAliveTimeout{ 12 };
/** Responses to other requests that are skipped before the call fails. */
constexpr int kMaxSkippedResponses = 3;

} // namespace

BackendCall::BackendCall(ForwardServices& aServices, ForwardContext& aContext)
  : services_(aServices)
  , context_(aContext)
{
}

BackendCall::~BackendCall()
{
  if (connection_) {
    connection_->Close();
  }
}

bool
BackendCall::IsHeadRequest() const
{
  return context_.request_.method() == http::verb::head;
}

asio::awaitable<std::optional<Error>>
BackendCall::Connect(const SendOptions& aOptions, Time aDeadline)
{
  connection_ = std::make_unique<BackendConnection>(services_.executor_,
                                                    services_.deadlines_);
  isReused_ = false;
  services_.metrics_.CountBackendConnection(false);
  const Time connectDeadline =
    std::min(aDeadline, ReadMonotonicTime() + kConnectTimeout);
  std::optional<Error> error =
    co_await connection_->Connect(aOptions.address_, connectDeadline);
  if (!error && context_.IsGeneration()) {
    SetKeepAlive(connection_->GetSocket().native_handle(),
                 kGenerationKeepAliveTimeout);
  }
  co_return error;
}

asio::awaitable<std::optional<Error>>
BackendCall::Start(const SendOptions& aOptions, bool aMayReuse, Time aDeadline)
{
  std::optional<Error> error;
  if (aMayReuse) {
    connection_ = services_.connections_.Take(aOptions.address_,
                                              context_.metadata_.attemptId_);
  }
  isReused_ = connection_ != nullptr;
  if (isReused_) {
    services_.metrics_.CountBackendConnection(true);
  } else {
    error = co_await Connect(aOptions, aDeadline);
    if (error) {
      co_return error;
    }
  }
  error = co_await SendAndReadHead(aOptions, aDeadline);
  const bool isConnectionStale =
    error && isReused_ && context_.IsIdempotent() &&
    error->code_ == ErrorCode::BackendServerFailed &&
    !connection_->HasReceived() && !context_.IsAborted();
  if (!isConnectionStale) {
    co_return error;
  }
  // The server closed the idle connection while the request was being sent. The
  // request is idempotent, so it can be sent again; a server that closes the
  // connection has not read it.
  error = co_await Connect(aOptions, aDeadline);
  if (!error) {
    services_.state_.CountUnplacedRequest(aOptions.server_,
                                          ReadMonotonicTime());
    error = co_await SendAndReadHead(aOptions, aDeadline);
  }
  if (error) {
    error->verdict_ = Verdict::MayHaveRun;
  }
  co_return error;
}

asio::awaitable<std::optional<Error>>
BackendCall::SendAndReadHead(const SendOptions& aOptions, Time aDeadline)
{
  const Time sentAt = ReadMonotonicTime();
  const std::string head =
    services_.wire_.BuildRequestHead(context_.request_, aOptions);
  std::optional<Error> error = co_await connection_->Send(
    context_.metadata_.attemptId_, head, context_.request_.body(), aDeadline);
  if (!error) {
    error = co_await connection_->ReadHead(IsHeadRequest(), aDeadline);
  }
  if (!error) {
    error = co_await SkipStaleResponses(aDeadline);
  }
  if (!error) {
    RecordStatements(aOptions.server_, sentAt);
    if (info_.isNotExecuted_ || info_.isFromOtherServer_) {
      LogRejection(aOptions.server_);
    }
  }
  co_return error;
}

void
BackendCall::LogRejection(const BackendServerId& aServer)
{
  services_.metrics_.CountRejection(isReused_);
  services_.log_.Write(Decision::RequestRejected,
                       { { "request", context_.metadata_.attemptId_ },
                         { "backend_server", aServer },
                         { "address", connection_->GetAddress().Format() },
                         { "status", connection_->GetHead().result_int() },
                         { "connection", isReused_ ? "reused" : "new" },
                         { "local_port", connection_->GetLocalPort() },
                         { "names_request", info_.isIdentified_ } });
}

void
BackendCall::RecordStatements(const BackendServerId& aServer, Time aSentAt)
{
  // Bytes that are not the server's answer state nothing, and neither does
  // another server at the same address.
  const bool isFromServer =
    !info_.isFromOtherServer_ && (info_.isVerified_ || IsRejected());
  if (!isFromServer) {
    return;
  }
  const Time now = ReadMonotonicTime();
  services_.state_.RecordServerLimit(
    aServer, info_.requestLimit_, aSentAt, now);
  if (info_.warmUpTime_) {
    services_.state_.RecordServerWarmUp(aServer, *info_.warmUpTime_, now);
  }
  if (info_.pause_) {
    services_.state_.PauseServer(aServer, *info_.pause_, now);
  }
  if (info_.isServerLeaving_) {
    services_.state_.RecordServerLeaving(aServer, now);
  }
}

asio::awaitable<std::optional<Error>>
BackendCall::SkipStaleResponses(Time aDeadline)
{
  for (int skipped = 0; skipped <= kMaxSkippedResponses; ++skipped) {
    info_ = services_.wire_.ParseResponseHead(connection_->GetHead(),
                                              context_.metadata_.attemptId_);
    if (!info_.isForOtherRequest_) {
      co_return std::nullopt;
    }
    services_.metrics_.CountSkippedResponse();
    services_.log_.Write(Decision::ResponseSkipped,
                         { { "request", context_.metadata_.attemptId_ },
                           { "address", connection_->GetAddress().Format() },
                           { "status", connection_->GetHead().result_int() },
                           { "local_port", connection_->GetLocalPort() } });
    const auto body = co_await ReadBody(aDeadline);
    if (!body) {
      co_return body.error();
    }
    std::optional<Error> error =
      co_await connection_->SkipAnswer(IsHeadRequest(), aDeadline);
    if (error) {
      co_return error;
    }
  }
  co_return Error{ ErrorCode::AnswerMismatched,
                   Verdict::MayHaveRun,
                   "the responses belong to other requests",
                   {} };
}

asio::awaitable<AsyncResult<std::string>>
BackendCall::ReadBody(Time aDeadline)
{
  BufferBudget::Reservation reservation(services_.responseBudget_);
  const Duration timeout =
    std::max<Duration>(aDeadline - ReadMonotonicTime(), Duration(1));
  co_return co_await connection_->ReadBody(
    { services_.limits_.answerLimitBytes_, timeout, aDeadline }, reservation);
}

void
BackendCall::Cancel()
{
  if (connection_) {
    connection_->Cancel();
  }
}

void
BackendCall::ReturnToPool()
{
  if (!connection_ || !connection_->IsReusable()) {
    return;
  }
  // A move may have limited the wait for the end of the stream.
  connection_->GetDeadline().Clear();
  const Duration idle =
    info_.keepAliveTimeout_
      ? FromSeconds(kIdleTimeFraction * ToSeconds(*info_.keepAliveTimeout_))
      : kDefaultIdleTime;
  services_.connections_.Give(std::move(connection_), idle);
}

} // namespace azurecross

#include "BackendCall.h"

namespace azurecross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/** Servers in reach answer in a few milliseconds; a request whose connection
 * takes longer goes to another server while it can still be on time. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
/** Idle connections are kept for this part of the time that the server states,
 * because it may close one while a request is on its way. */
constexpr double kIdlePart = 0.5;
/** Used when the server states no time. */
constexpr Duration kUsualIdleTime = std::chrono::milliseconds(2000);
/** A partition lasts several seconds, and what a generation makes meanwhile
 * arrives after it; its caller waits four times the time to the first event.
 * To break the stream off sooner loses it. */
constexpr std::chrono::seconds kGenerationSilence{ 12 };
/** Answers to other requests that are passed over before giving up. */
constexpr int kMostSkipped = 3;

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
BackendCall::Connect(const SendOptions& aPlan, Time aDeadline)
{
  connection_ = std::make_unique<BackendConnection>(services_.executor_,
                                                    services_.deadlines_);
  services_.metrics_.CountBackendConnection(false);
  const Time limit = std::min(aDeadline, ReadMonotonicTime() + kConnectTimeout);
  std::optional<Error> error =
    co_await connection_->Connect(aPlan.address_, limit);
  if (!error && context_.IsGeneration()) {
    SetKeepAlive(connection_->GetSocket().native_handle(), kGenerationSilence);
  }
  co_return error;
}

asio::awaitable<std::optional<Error>>
BackendCall::Start(const SendOptions& aPlan, bool aMayReuse, Time aDeadline)
{
  std::optional<Error> error;
  if (aMayReuse) {
    connection_ = services_.connections_.Take(aPlan.address_);
  }
  const bool isReused = connection_ != nullptr;
  if (isReused) {
    services_.metrics_.CountBackendConnection(true);
  } else {
    error = co_await Connect(aPlan, aDeadline);
    if (error) {
      co_return error;
    }
  }
  error = co_await Exchange(aPlan, aDeadline);
  const bool isStale = error && isReused && context_.IsIdempotent() &&
                       error->code_ == ErrorCode::BackendServerFailed &&
                       !context_.IsStopped();
  if (!isStale) {
    co_return error;
  }
  // The server closed the idle connection at the same moment; the request may
  // be repeated, and a closing server has not read it.
  error = co_await Connect(aPlan, aDeadline);
  if (!error) {
    error = co_await Exchange(aPlan, aDeadline);
  }
  if (error) {
    error->verdict_ = Verdict::MayHaveRun;
  }
  co_return error;
}

asio::awaitable<std::optional<Error>>
BackendCall::Exchange(const SendOptions& aPlan, Time aDeadline)
{
  const std::string head =
    services_.wire_.BuildRequestHead(context_.request_, aPlan);
  std::optional<Error> error =
    co_await connection_->Send(head, context_.request_.body(), aDeadline);
  if (!error) {
    error = co_await connection_->ReadHead(IsHeadRequest(), aDeadline);
  }
  if (!error) {
    error = co_await FindAnswer(aDeadline);
  }
  co_return error;
}

asio::awaitable<std::optional<Error>>
BackendCall::FindAnswer(Time aDeadline)
{
  for (int skipped = 0; skipped <= kMostSkipped; ++skipped) {
    info_ = services_.wire_.ParseResponseHead(connection_->GetHead(),
                                              context_.metadata_.attemptId_);
    if (!info_.isForOtherRequest_) {
      co_return std::nullopt;
    }
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
                   "the answers belong to other requests",
                   {} };
}

asio::awaitable<AsyncResult<std::string>>
BackendCall::ReadBody(Time aDeadline)
{
  const Duration silence =
    std::max<Duration>(aDeadline - ReadMonotonicTime(), Duration(1));
  co_return co_await connection_->ReadBody(services_.limits_.answerLimitBytes_,
                                           silence);
}

void
BackendCall::Cancel()
{
  if (connection_) {
    connection_->Cancel();
  }
}

void
BackendCall::GiveBack()
{
  if (!connection_ || !connection_->IsReusable()) {
    return;
  }
  const Duration idle =
    info_.keepAliveTimeout_
      ? FromSeconds(kIdlePart * ToSeconds(*info_.keepAliveTimeout_))
      : kUsualIdleTime;
  services_.connections_.Give(std::move(connection_), idle);
}

} // namespace azurecross

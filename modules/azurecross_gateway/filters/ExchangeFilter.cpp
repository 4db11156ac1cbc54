#include "ExchangeFilter.h"

#include "../backend/EngineAdapter.h"
#include "../backend/ServiceAdapter.h"
#include "../relay/StreamRelay.h"

#include <algorithm>

namespace azurecross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

ReleaseResult
FindReleaseResult(const std::optional<Error>& aError)
{
  if (!aError) {
    return ReleaseResult::Completed;
  }
  return aError->code_ == ErrorCode::Cancelled
           ? ReleaseResult::CallerLeft
           : ReleaseResult::BackendServerFailed;
}

} // namespace

ExchangeFilter::ExchangeFilter(WorkerServices& aServices,
                               RequestContext& aContext,
                               AnswerWriter& aWriter,
                               RunningRequests::Registration& aRegistration)
  : services_(aServices)
  , context_(aContext)
  , writer_(aWriter)
  , registration_(aRegistration)
{
}

asio::awaitable<AttemptOutcome>
ExchangeFilter::Run(Slot& aSlot, OperationGuard* aOperation)
{
  const Assignment& assignment = aSlot.GetAssignment();
  const bool isGeneration = context_.route_.kind_ == RequestKind::Generation;
  const OutgoingRequest request =
    isGeneration ? EngineAdapter::BuildRequest(context_, assignment.address_)
                 : ServiceAdapter::BuildRequest(context_, assignment.address_);
  const ScopeGuard forget([this] { context_.cancel_ = nullptr; });
  Connection connection;
  AttemptOutcome outcome;
  outcome.error_ = co_await SendAndReadHead(
    connection, assignment.address_, request, IsRepeatable());
  if (aOperation != nullptr && connection->MayHaveSent()) {
    aOperation->SetMayHaveRun();
  }
  if (!outcome.error_) {
    const bool isStream =
      isGeneration && EngineAdapter::IsEventStream(connection->GetHead());
    if (isStream) {
      GenerationChecker checker;
      outcome = co_await PassOnStream(
        *connection, &aSlot, assignment.backendServer_, checker);
    } else {
      outcome = co_await PassOnAnswer(*connection, aSlot, aOperation);
    }
  }
  const Verdict verdict =
    outcome.error_ ? outcome.error_->verdict_ : Verdict::Ran;
  aSlot.SetResult(FindReleaseResult(outcome.error_), verdict);
  services_.pool_.Give(std::move(connection));
  co_return outcome;
}

asio::awaitable<AttemptOutcome>
ExchangeFilter::Resume(SocketAddress aAddress)
{
  const EventId& last = *context_.lastEvent_;
  const OutgoingRequest request =
    EngineAdapter::BuildResume(context_, aAddress);
  const ScopeGuard forget([this] { context_.cancel_ = nullptr; });
  Connection connection;
  AttemptOutcome outcome;
  outcome.error_ =
    co_await SendAndReadHead(connection, aAddress, request, true);
  if (!outcome.error_ &&
      (connection->GetHead().result() != http::status::ok ||
       !EngineAdapter::IsEventStream(connection->GetHead()))) {
    outcome.error_ = Error{ ErrorCode::GenerationLost,
                            Verdict::MayHaveRun,
                            "the engine no longer has the generation",
                            {} };
  }
  if (!outcome.error_) {
    GenerationChecker checker(last.generation_, last.offset_ + 1);
    outcome = co_await PassOnStream(
      *connection, nullptr, last.backendServer_, std::move(checker));
  }
  if (outcome.error_ && outcome.error_->verdict_ == Verdict::NotRun) {
    outcome.error_->verdict_ = Verdict::MayHaveRun;
  }
  services_.pool_.Give(std::move(connection));
  co_return outcome;
}

asio::awaitable<std::optional<Error>>
ExchangeFilter::SendAndReadHead(Connection& aConnection,
                                SocketAddress aAddress,
                                const OutgoingRequest& aRequest,
                                bool aMayReuse)
{
  std::optional<Error> error;
  if (aMayReuse) {
    aConnection =
      services_.pool_.Take(aAddress, context_.requestId_.GetValue());
  }
  const bool isReused = aConnection != nullptr;
  if (isReused) {
    WatchCaller(*aConnection);
    error = co_await SendOnce(*aConnection, aRequest);
    // The server may have closed the idle connection at the same moment.
    const bool isStale =
      error && error->code_ == ErrorCode::BackendServerFailed;
    if (!isStale) {
      co_return error;
    }
    context_.verdict_ = std::max(context_.verdict_, error->verdict_);
  }
  aConnection = std::make_unique<BackendConnection>(services_.executor_,
                                                    services_.deadlines_);
  WatchCaller(*aConnection);
  const Time now = ReadMonotonicTime();
  error = co_await aConnection->Connect(
    aAddress,
    std::min(now + services_.limits_.connectTimeout_, FindHeadDeadline()));
  if (!error) {
    error = co_await SendOnce(*aConnection, aRequest);
  }
  co_return error;
}

asio::awaitable<std::optional<Error>>
ExchangeFilter::SendOnce(BackendConnection& aConnection,
                         const OutgoingRequest& aRequest)
{
  const Time deadline = FindHeadDeadline();
  auto error = co_await aConnection.Send(
    context_.requestId_.GetValue(), aRequest.head_, aRequest.body_, deadline);
  if (!error) {
    error = co_await aConnection.ReadHead(
      context_.request_.method() == http::verb::head, deadline);
  }
  if (!error) {
    error = CheckHead(aConnection.GetHead());
    if (error) {
      services_.metrics_.CountMismatchedAnswer();
      aConnection.Close();
    }
  }
  co_return error;
}

std::optional<Error>
ExchangeFilter::CheckHead(const BackendConnection::Head& aHead) const
{
  return context_.route_.kind_ == RequestKind::Generation
           ? EngineAdapter::CheckHead(context_, aHead)
           : ServiceAdapter::CheckHead(context_, aHead);
}

asio::awaitable<AttemptOutcome>
ExchangeFilter::PassOnAnswer(BackendConnection& aConnection,
                             Slot& aSlot,
                             OperationGuard* aOperation)
{
  AttemptOutcome outcome;
  aSlot.SetFirstToken(ReadMonotonicTime());
  BufferBudget::Reservation reservation(services_.answerBudget_);
  auto body = co_await aConnection.ReadBody(
    { services_.limits_.answerLimitBytes_, services_.limits_.silenceTimeout_ },
    reservation);
  if (!body) {
    outcome.error_ = body.error();
    co_return outcome;
  }
  if (context_.route_.kind_ == RequestKind::Generation) {
    aSlot.SetTokens(EngineAdapter::ReadUsedTokens(*body));
  }
  const BackendConnection::Head& head = aConnection.GetHead();
  const bool isRefusal = head.result() == http::status::service_unavailable;
  if (isRefusal && IsRepeatable() && !context_.callerHasLeft_) {
    outcome.error_ = Error{ ErrorCode::BackendServerFailed,
                            Verdict::MayHaveRun,
                            "the backend server answered 503",
                            {} };
    co_return outcome;
  }
  if (aOperation != nullptr) {
    OperationAnswer answer;
    answer.verdict_ = Verdict::Ran;
    answer.status_ = head.result_int();
    answer.contentType_ = std::string(head[http::field::content_type]);
    answer.body_ = *body;
    aOperation->FinishWith(std::move(answer));
  }
  outcome.isAnswered_ = true;
  if (!IsRepeatable()) {
    const auto key = co_await services_.controller_.IssueOperationKey();
    // Without a key the caller can still ask for one.
    writer_.OfferOperationKey(key.has_value() ? *key : std::string());
  }
  co_await writer_.WriteAnswer(head, *body);
  co_return outcome;
}

asio::awaitable<AttemptOutcome>
ExchangeFilter::PassOnStream(BackendConnection& aConnection,
                             Slot* aSlot,
                             const BackendServerId& aBackendServer,
                             GenerationChecker aChecker)
{
  StreamProgress progress(services_.metrics_,
                          context_.route_.rank_,
                          context_.arrival_,
                          aSlot,
                          registration_.GetTokens());
  StreamRelay::Parts parts{ writer_.GetCaller(),
                            aConnection,
                            progress,
                            services_.limits_,
                            writer_.BuildStreamHead(),
                            writer_.IsChunked(),
                            aBackendServer,
                            std::move(aChecker),
                            FindHeadDeadline() };
  StreamRelay relay(std::move(parts));
  RelayOutcome relayed = co_await relay.Run();
  if (relayed.error_ && relayed.error_->code_ == ErrorCode::AnswerMismatched) {
    services_.metrics_.CountMismatchedAnswer();
  }
  if (relayed.error_) {
    aConnection.Close();
  }
  if (relayed.error_ && relayed.hasDelivered_) {
    services_.metrics_.CountFailure(relayed.error_->code_,
                                    relayed.error_->verdict_);
  }
  AttemptOutcome outcome;
  outcome.isAnswered_ = relayed.hasDelivered_;
  outcome.error_ = std::move(relayed.error_);
  if (outcome.isAnswered_ && (outcome.error_ || !writer_.IsChunked())) {
    writer_.CloseAfterwards();
  }
  co_return outcome;
}

void
ExchangeFilter::WatchCaller(BackendConnection& aConnection)
{
  // A call that must not be repeated runs to its end, so that its answer can
  // be recorded.
  if (IsRepeatable()) {
    context_.cancel_ = [&aConnection] { aConnection.Cancel(); };
  }
}

bool
ExchangeFilter::IsRepeatable() const
{
  return context_.route_.kind_ == RequestKind::Generation ||
         context_.route_.isIdempotent_;
}

Time
ExchangeFilter::FindHeadDeadline() const
{
  const Time latest = ReadMonotonicTime() + services_.limits_.answerTimeout_;
  const bool isWholeAnswer =
    context_.generation_ && !context_.generation_->isStream_;
  if (!context_.deadline_ || isWholeAnswer) {
    return latest;
  }
  return std::min(latest, *context_.deadline_);
}

} // namespace azurecross

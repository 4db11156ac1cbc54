#include "ForwardPipeline.h"

#include "Admission.h"
#include "CallExchange.h"
#include "GenerationExchange.h"

namespace azurecross {

namespace asio = boost::asio;

namespace {

/** Servers that are tried for one request, those out of reach included. */
constexpr unsigned kMostSends = 8;

} // namespace

ForwardPipeline::ForwardPipeline(ForwardServices& aServices,
                                 ForwardContext& aContext,
                                 AnswerSender& aAnswer)
  : services_(aServices)
  , context_(aContext)
  , answer_(aAnswer)
  , timeout_([this] { TakeTimeout(); })
{
  services_.deadlines_.Add(timeout_);
}

void
ForwardPipeline::TakeTimeout()
{
  context_.isTimedOut_ = true;
  if (context_.cancel_) {
    context_.cancel_();
  }
}

void
ForwardPipeline::TakeCallerLeft()
{
  context_.callerHasLeft_ = true;
  // A call that must not be repeated runs to its end: to break it off would
  // leave open whether it has run.
  const bool isRunningOnce =
    context_.sends_ > 0 && context_.route_ &&
    context_.route_->kind_ == CallKind::NonIdempotentCall;
  if (context_.cancel_ && !isRunningOnce) {
    context_.cancel_();
  }
}

asio::awaitable<void>
ForwardPipeline::Run()
{
  Failure failure = co_await RunSteps();
  timeout_.Clear();
  if (failure && context_.isTimedOut_ && !context_.callerHasLeft_) {
    failure = Error{ ErrorCode::DeadlineExceeded,
                     context_.verdict_,
                     "no answer within the time of the caller or the route",
                     {} };
  }
  LogEnd(failure);
  if (!failure || context_.callerHasLeft_) {
    co_return;
  }
  if (answer_.HasBegun()) {
    // The end is missing, so the caller can't take it for a whole answer.
    answer_.CloseAfterwards();
    co_return;
  }
  services_.metrics_.CountFailure(failure->code_);
  co_await answer_.WriteError(*failure);
}

asio::awaitable<ForwardPipeline::Failure>
ForwardPipeline::RunSteps()
{
  AsyncResult<CallerDemand> demand =
    services_.wire_.ReadRequest(context_.request_);
  if (!demand) {
    co_return demand.error();
  }
  context_.demand_ = std::move(*demand);
  Admission admission(services_, context_);
  Failure failure = co_await admission.Run();
  if (failure) {
    co_return failure;
  }
  timeout_.Set(context_.end_);
  services_.state_.GetRetryBudget().CountRequest(context_.pool_->name_,
                                                 ReadMonotonicTime());
  failure = co_await Dispatch();
  if (failure && kept_ && !context_.IsStopped()) {
    co_await answer_.WriteWhole(kept_->head_, kept_->body_);
    co_return std::nullopt;
  }
  co_return failure;
}

PlacementRequest
ForwardPipeline::MakePlacementRequest() const
{
  PlacementRequest request;
  request.pool_ = context_.pool_->name_;
  request.route_ = context_.route_->name_;
  request.customer_ = context_.customer_.value_or(CustomerId());
  request.kind_ = context_.route_->kind_;
  request.demand_ = context_.demand_.generation_;
  return request;
}

asio::awaitable<AsyncResult<StartedRun>>
ForwardPipeline::Acquire(const PlacementRequest& aRequest)
{
  DispatchTicket ticket;
  ticket.number_ = services_.dispatch_.AllocateTicketNumber();
  ticket.request_ = aRequest;
  ticket.priority_ = context_.priority_;
  ticket.arrival_ = context_.arrival_;
  ticket.target_ = context_.arrival_ + context_.route_->latencyTarget_;
  ticket.end_ = context_.end_;
  const TicketNumber number = ticket.number_;
  const ScopeGuard forget([this] { context_.cancel_ = nullptr; });
  context_.cancel_ = [this, number] { services_.dispatch_.Cancel(number); };
  AsyncResult<StartedRun> started = co_await services_.dispatch_.Acquire(
    services_.executor_, std::move(ticket));
  co_return started;
}

asio::awaitable<AttemptResult>
ForwardPipeline::Exchange(StartedRun& aRun, const PlacementRequest& aRequest)
{
  ++context_.sends_;
  context_.server_ = aRun.choice_.server_;
  loadShare_ = aRun.choice_.loadShare_;
  services_.log_.Write(Decision::RequestSent,
                       { { "request", context_.demand_.attemptId_ },
                         { "backend_server", aRun.choice_.server_ },
                         { "route", context_.route_->name_ },
                         { "tables_version", context_.tables_->GetVersion() },
                         { "send", context_.sends_ },
                         { "waited_s", ToSeconds(aRun.waited_) },
                         { "load_share", aRun.choice_.loadShare_ },
                         { "runs", aRun.choice_.runs_ },
                         { "expected_s", aRun.choice_.expectedSeconds_ } });
  AttemptResult result;
  if (context_.IsGeneration()) {
    GenerationExchange exchange(services_, context_, answer_);
    result = co_await exchange.Run(aRun, aRequest);
  } else {
    const bool mayRepeat =
      context_.IsIdempotent() && runs_ + 1 < context_.route_->attemptLimit_;
    CallExchange exchange(services_, context_, answer_);
    result = co_await exchange.Run(aRun, mayRepeat);
  }
  co_return result;
}

bool
ForwardPipeline::TakeRetry(const AttemptResult& aResult)
{
  // Without a byte sent, the next send is the first that a server sees.
  if (aResult.isUnsent_) {
    return true;
  }
  const bool isAllowed = services_.state_.GetRetryBudget().TakeRetry(
    context_.pool_->name_, ReadMonotonicTime());
  services_.metrics_.CountRetry(isAllowed);
  services_.log_.Write(
    Decision::RequestRetried,
    { { "request", context_.demand_.attemptId_ },
      { "backend_server", context_.server_ },
      { "outcome", isAllowed ? "allowed" : "over budget" },
      { "verdict", kVerdictNames.FindName(aResult.error_->verdict_) },
      { "reason", aResult.error_->message_ } });
  return isAllowed;
}

bool
ForwardPipeline::MayFollow(const AttemptResult& aResult)
{
  if (aResult.isAnswered_ || context_.IsStopped() ||
      context_.sends_ >= kMostSends) {
    return false;
  }
  const bool hasNotRun = aResult.error_->verdict_ == Verdict::NotRun;
  if (!hasNotRun) {
    ++runs_;
  }
  const bool isSafe = hasNotRun || (context_.IsIdempotent() &&
                                    runs_ < context_.route_->attemptLimit_);
  return isSafe && TakeRetry(aResult);
}

asio::awaitable<ForwardPipeline::Failure>
ForwardPipeline::Dispatch()
{
  PlacementRequest request = MakePlacementRequest();
  for (;;) {
    AsyncResult<StartedRun> started = co_await Acquire(request);
    if (!started) {
      Error error = started.error();
      error.verdict_ = std::max(error.verdict_, context_.verdict_);
      co_return error;
    }
    const Time startedAt = ReadMonotonicTime();
    AttemptResult result;
    if (context_.IsStopped()) {
      result.error_ = Error{
        ErrorCode::Cancelled, Verdict::NotRun, "the request has ended", {}
      };
      result.isUnsent_ = true;
    } else {
      result = co_await Exchange(*started, request);
    }
    services_.dispatch_.ObserveServiceTime(request.pool_,
                                           ReadMonotonicTime() - startedAt);
    if (result.kept_) {
      kept_ = std::move(result.kept_);
    }
    if (!result.error_) {
      co_return std::nullopt;
    }
    context_.verdict_ = std::max(context_.verdict_, result.error_->verdict_);
    if (!MayFollow(result)) {
      result.error_->verdict_ = context_.verdict_;
      co_return std::move(result.error_);
    }
    request.excluded_.push_back(context_.server_);
  }
}

void
ForwardPipeline::LogEnd(const Failure& aFailure)
{
  const Duration latency = ReadMonotonicTime() - context_.arrival_;
  const CallKind kind =
    context_.route_ ? context_.route_->kind_ : CallKind::NonIdempotentCall;
  services_.metrics_.CountRequest(
    kind, context_.status_, context_.verdict_, latency);
  if (!aFailure) {
    services_.log_.Write(Decision::RequestServed,
                         { { "request", context_.demand_.attemptId_ },
                           { "backend_server", context_.server_ },
                           { "status", context_.status_ },
                           { "sends", context_.sends_ },
                           { "latency_s", ToSeconds(latency) } });
    return;
  }
  Decision decision = Decision::RequestFailed;
  if (context_.callerHasLeft_) {
    decision = Decision::CallerLeft;
  } else if (aFailure->verdict_ == Verdict::NotRun) {
    decision = Decision::RequestRefused;
  }
  const auto proofAge =
    services_.state_.GetKeyFreshness().GetAge(ReadBootTime());
  services_.log_.Write(
    decision,
    { { "request", context_.demand_.attemptId_ },
      { "route", context_.route_ ? context_.route_->name_.GetValue() : "" },
      { "reason", kErrorCodeNames.FindName(aFailure->code_) },
      { "detail", aFailure->message_ },
      { "verdict", kVerdictNames.FindName(aFailure->verdict_) },
      { "backend_server", context_.server_ },
      { "sends", context_.sends_ },
      { "load_share", loadShare_ },
      { "latency_s", ToSeconds(latency) },
      { "retry_after_s",
        ToSeconds(
          aFailure->retryAfter_.value_or(std::chrono::milliseconds(0))) },
      { "tables_version",
        context_.tables_ ? context_.tables_->GetVersion() : 0 },
      { "tables_proof_age_s", proofAge ? ToSeconds(*proofAge) : -1.0 } });
}

} // namespace azurecross

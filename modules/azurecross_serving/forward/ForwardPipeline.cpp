#include "ForwardPipeline.h"

#include "Admission.h"
#include "CallExchange.h"
#include "GenerationExchange.h"

namespace azurecross {

namespace asio = boost::asio;

namespace {

/** Servers tried for one request, including unreachable ones. */
constexpr unsigned kMaxSends = 8;

} // namespace

ForwardPipeline::ForwardPipeline(ForwardServices& aServices,
                                 ForwardContext& aContext,
                                 ResponseWriter& aWriter)
  : services_(aServices)
  , context_(aContext)
  , writer_(aWriter)
  , timeout_([this] { HandleTimeout(); })
{
  services_.deadlines_.Add(timeout_);
}

void
ForwardPipeline::HandleTimeout()
{
  context_.isTimedOut_ = true;
  if (context_.cancel_) {
    context_.cancel_();
  }
}

void
ForwardPipeline::HandleCallerDisconnect()
{
  context_.isCallerDisconnected_ = true;
  // A non-idempotent call runs to completion: an interruption would leave it
  // unknown whether the call ran.
  const bool mustNotInterrupt =
    context_.sendCount_ > 0 && context_.route_ &&
    context_.route_->kind_ == CallKind::NonIdempotentCall;
  if (context_.cancel_ && !mustNotInterrupt) {
    context_.cancel_();
  }
}

void
ForwardPipeline::HandleShutdown()
{
  context_.isShutDown_ = true;
  if (context_.cancel_) {
    context_.cancel_();
  }
}

bool
ForwardPipeline::OutlastsShutdown() const
{
  return services_.shutdown_ &&
         !services_.shutdown_->Allows(context_.MakeShutdownCandidate(),
                                      ReadMonotonicTime());
}

void
ForwardPipeline::RefuseIfOutlastsShutdown()
{
  if (context_.isQueued_ && OutlastsShutdown()) {
    HandleShutdown();
  }
}

asio::awaitable<void>
ForwardPipeline::Run()
{
  Failure failure = co_await ProcessSafely();
  timeout_.Clear();
  if (failure) {
    context_.verdict_ = std::max(context_.verdict_, failure->verdict_);
  }
  if (failure && context_.isTimedOut_ && !context_.isCallerDisconnected_) {
    failure =
      Error{ ErrorCode::DeadlineExceeded,
             context_.verdict_,
             "no response before the deadline of the caller or the route",
             {} };
  } else if (failure && context_.isShutDown_) {
    failure = Error{ ErrorCode::Draining,
                     context_.verdict_,
                     "the daemon's shutdown ended the request",
                     {} };
  }
  LogResult(failure);
  if (!failure || context_.isCallerDisconnected_) {
    co_return;
  }
  services_.metrics_.CountFailure(failure->code_);
  if (writer_.HasStarted()) {
    // The response is missing its end, so the caller detects the truncation.
    writer_.CutResponse();
    co_return;
  }
  co_await writer_.WriteError(*failure);
}

asio::awaitable<ForwardPipeline::Failure>
ForwardPipeline::ProcessSafely()
{
  try {
    co_return co_await Process();
  } catch (const std::exception& exception) {
    WriteLog(LogLevel::Error,
             "an exception ended a request",
             { { "request", context_.metadata_.attemptId_ },
               { "reason", exception.what() } });
  }
  const Verdict verdict = context_.sendCount_ > 0
                            ? std::max(context_.verdict_, Verdict::MayHaveRun)
                            : Verdict::NotRun;
  co_return Error{ ErrorCode::Internal, verdict, "internal error", {} };
}

asio::awaitable<ForwardPipeline::Failure>
ForwardPipeline::Process()
{
  AsyncResult<RequestMetadata> metadata =
    services_.wire_.ParseRequest(context_.request_);
  if (!metadata) {
    co_return metadata.error();
  }
  context_.metadata_ = std::move(*metadata);
  Admission admission(services_, context_);
  Failure failure = co_await admission.Run();
  if (failure) {
    co_return failure;
  }
  context_.fingerprint_ = MakeFingerprint();
  timeout_.Set(context_.deadline_);
  services_.state_.GetRetryBudget().CountRequest(context_.pool_->name_,
                                                 ReadMonotonicTime());
  failure = co_await Dispatch();
  if (failure && errorResponse_ && !context_.isCallerDisconnected_ &&
      !context_.isTimedOut_) {
    co_await writer_.WriteResponse(errorResponse_->head_,
                                   errorResponse_->body_);
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
  request.gapTarget_ = context_.route_->gapTarget_;
  // With an evacuated zone, the servers of the others are short.
  request.mayQueueAtServer_ =
    context_.tables_->HasResumableStreams() ||
    services_.state_.GetLoadTracker().HasEvacuatedZones();
  request.isRankedByCost_ = context_.IsGeneration() &&
                            context_.pool_->engine_ &&
                            context_.pool_->engine_->pacesPrompts_;
  request.demand_ = context_.metadata_.generation_;
  request.fingerprints_ = context_.MakeFingerprints();
  return request;
}

Fingerprint
ForwardPipeline::MakeFingerprint() const
{
  const auto toView = [](boost::beast::string_view aText) {
    return std::string_view(aText.data(), aText.size());
  };
  const WireProtocol::Request& request = context_.request_;
  const auto& prefixHashes = context_.metadata_.generation_.prefixHashes_;
  return ComputeFingerprint({ toView(request.method_string()),
                              toView(request[boost::beast::http::field::host]),
                              toView(request.target()),
                              context_.metadata_.apiKey_,
                              request.body(),
                              prefixHashes.empty() ? 0 : prefixHashes.back() });
}

asio::awaitable<AsyncResult<StartedRun>>
ForwardPipeline::Acquire(const PlacementRequest& aRequest)
{
  DispatchTicket ticket;
  ticket.id_ = services_.dispatch_.AllocateTicketId();
  ticket.request_ = aRequest;
  ticket.priority_ = context_.priority_;
  ticket.arrival_ = context_.arrival_;
  ticket.targetTime_ = context_.arrival_ + context_.route_->latencyTarget_;
  ticket.deadline_ = context_.deadline_;
  const TicketId ticketId = ticket.id_;
  const ScopeGuard resetCancel([this] {
    context_.cancel_ = nullptr;
    context_.isQueued_ = false;
  });
  context_.isQueued_ = true;
  context_.cancel_ = [this, ticketId] { services_.dispatch_.Cancel(ticketId); };
  AsyncResult<StartedRun> started = co_await services_.dispatch_.Acquire(
    services_.executor_, std::move(ticket));
  co_return started;
}

asio::awaitable<AttemptResult>
ForwardPipeline::RunAttempt(StartedRun& aRun, const PlacementRequest& aRequest)
{
  ++context_.sendCount_;
  context_.server_ = aRun.choice_.server_;
  loadShare_ = aRun.choice_.loadShare_;
  services_.log_.Write(
    Decision::RequestSent,
    { { "request", context_.metadata_.attemptId_ },
      { "backend_server", aRun.choice_.server_ },
      { "route", context_.route_->name_ },
      { "customer", context_.customer_.value_or(CustomerId()) },
      { "fingerprint", FormatFingerprint(context_.fingerprint_) },
      { "tables_version", context_.tables_->GetVersion() },
      { "send", context_.sendCount_ },
      { "waited_s", ToSeconds(aRun.waited_) },
      { "permit_wait_s", ToSeconds(aRun.permitWait_) },
      { "load_share", aRun.choice_.loadShare_ },
      { "runs", aRun.choice_.runs_ },
      { "expected_s", aRun.choice_.expectedSeconds_ },
      { "expected_gap_s", aRun.choice_.expectedGapSeconds_ } });
  AttemptResult result;
  if (context_.IsGeneration()) {
    GenerationExchange exchange(services_, context_, writer_);
    result = co_await exchange.Run(aRun, aRequest);
  } else {
    const bool mayRetry = context_.IsIdempotent() &&
                          possibleRuns_ + 1 < context_.route_->attemptLimit_;
    CallExchange exchange(services_, context_, writer_);
    result = co_await exchange.Run(aRun, mayRetry);
  }
  co_return result;
}

bool
ForwardPipeline::ConsumeRetryBudget(const AttemptResult& aResult)
{
  // If no byte was sent, the next attempt is the first one that a server sees
  // and takes nothing from the retry budget.
  if (aResult.isUnsent_) {
    return true;
  }
  const bool isAllowed = services_.state_.GetRetryBudget().TakeRetry(
    context_.pool_->name_, ReadMonotonicTime());
  services_.metrics_.CountRetry(isAllowed);
  services_.log_.Write(
    Decision::RequestRetried,
    { { "request", context_.metadata_.attemptId_ },
      { "backend_server", context_.server_ },
      { "outcome", isAllowed ? "allowed" : "over budget" },
      { "verdict", kVerdictNames.FindName(aResult.error_->verdict_) },
      { "reason", aResult.error_->message_ } });
  return isAllowed;
}

bool
ForwardPipeline::ShouldRetry(const AttemptResult& aResult)
{
  if (aResult.isResponseStarted_ || context_.IsAborted() ||
      context_.sendCount_ >= kMaxSends) {
    return false;
  }
  const bool isNotExecuted = aResult.error_->verdict_ == Verdict::NotRun;
  if (!isNotExecuted) {
    ++possibleRuns_;
  }
  const bool isRetrySafe =
    isNotExecuted ||
    (context_.IsIdempotent() && possibleRuns_ < context_.route_->attemptLimit_);
  return isRetrySafe && !MayEndServers(aResult) && ConsumeRetryBudget(aResult);
}

bool
ForwardPipeline::MayEndServers(const AttemptResult& aResult) const
{
  const bool isUnanswered =
    aResult.error_->verdict_ != Verdict::NotRun && !aResult.isAnswered_;
  if (!isUnanswered ||
      !services_.state_.GetQuarantine().IsSuspected(context_.fingerprint_)) {
    return false;
  }
  services_.log_.Write(Decision::RequestRetried,
                       { { "request", context_.metadata_.attemptId_ },
                         { "backend_server", context_.server_ },
                         { "outcome", "suspected of ending servers" },
                         { "reason", aResult.error_->message_ } });
  return true;
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
    // A request that is sent again has not been checked since its admission.
    if (OutlastsShutdown()) {
      context_.isShutDown_ = true;
    }
    const Time startedAt = ReadMonotonicTime();
    AttemptResult result;
    if (context_.IsAborted()) {
      result.error_ = Error{ ErrorCode::Cancelled,
                             Verdict::NotRun,
                             "the request was cancelled before it was sent",
                             {} };
      result.isUnsent_ = true;
    } else {
      result = co_await RunAttempt(*started, request);
    }
    services_.dispatch_.ObserveServiceTime(request.pool_,
                                           ReadMonotonicTime() - startedAt);
    if (result.errorResponse_) {
      errorResponse_ = std::move(result.errorResponse_);
    }
    if (!result.error_) {
      co_return std::nullopt;
    }
    context_.verdict_ = std::max(context_.verdict_, result.error_->verdict_);
    if (!ShouldRetry(result)) {
      result.error_->verdict_ = context_.verdict_;
      co_return std::move(result.error_);
    }
    request.excludedServers_.push_back(context_.server_);
  }
}

void
ForwardPipeline::LogResult(const Failure& aFailure)
{
  const Duration latency = ReadMonotonicTime() - context_.arrival_;
  const CallKind kind =
    context_.route_ ? context_.route_->kind_ : CallKind::NonIdempotentCall;
  services_.metrics_.CountRequest(
    kind, context_.status_, context_.verdict_, latency);
  if (!aFailure) {
    services_.log_.Write(Decision::RequestServed,
                         { { "request", context_.metadata_.attemptId_ },
                           { "backend_server", context_.server_ },
                           { "status", context_.status_ },
                           { "sends", context_.sendCount_ },
                           { "latency_s", ToSeconds(latency) } });
    return;
  }
  Decision decision = Decision::RequestFailed;
  if (context_.isCallerDisconnected_) {
    decision = Decision::CallerLeft;
  } else if (aFailure->verdict_ == Verdict::NotRun) {
    decision = Decision::RequestRefused;
  }
  const auto proofAge =
    services_.state_.GetKeyFreshness().GetAge(ReadBootTime());
  services_.log_.Write(
    decision,
    { { "request", context_.metadata_.attemptId_ },
      { "route", context_.route_ ? context_.route_->name_.GetValue() : "" },
      { "reason", kErrorCodeNames.FindName(aFailure->code_) },
      { "detail", aFailure->message_ },
      { "verdict", kVerdictNames.FindName(aFailure->verdict_) },
      { "backend_server", context_.server_ },
      { "sends", context_.sendCount_ },
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

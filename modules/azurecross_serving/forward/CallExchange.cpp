#include "CallExchange.h"

#include "../quarantine/RunEvidence.h"

namespace azurecross {

namespace asio = boost::asio;

namespace {

constexpr unsigned kFirstServerError = 500;
constexpr unsigned kSuccessBegin = 200;
constexpr unsigned kSuccessEnd = 300;
/**
 * An attempt that takes this many times the expected time is given up if
 * another one may follow: the server is probably hanging.
 */
constexpr double kSlowAttemptFactor = 5.0;
/** Limits of an attempt that may be retried, as fractions of the time left. */
constexpr double kMinAttemptFraction = 0.35;
constexpr double kMaxAttemptFraction = 0.6;
/** Retry delay for callers whose request was rejected by a server. */
constexpr std::chrono::milliseconds kRejectedRetryAfter{ 250 };

bool
IsSuccess(unsigned aStatus)
{
  return aStatus >= kSuccessBegin && aStatus < kSuccessEnd;
}

Error
MakeRejectedError(const ResponseInfo& aInfo)
{
  return Error{ ErrorCode::BackendServerFailed,
                Verdict::NotRun,
                aInfo.isFromOtherServer_
                  ? "the address belongs to another backend server"
                  : "the backend server did not run the request",
                kRejectedRetryAfter };
}

} // namespace

RunOutcome
GetRunEnd(const Error& aError)
{
  if (aError.code_ == ErrorCode::Cancelled) {
    return RunOutcome::Withdrawn;
  }
  return aError.verdict_ == Verdict::NotRun ? RunOutcome::Unreachable
                                            : RunOutcome::Failed;
}

SendOptions
MakeSendOptions(const ForwardContext& aContext, const PlacementChoice& aChoice)
{
  SendOptions options;
  options.server_ = aChoice.server_;
  options.address_ = aChoice.address_;
  options.remainingTime_ = aContext.deadline_ - ReadMonotonicTime();
  options.customer_ = aContext.customer_;
  options.priority_ = aContext.priority_;
  options.forwardsLastEventId_ = aContext.route_->isResumable_;
  return options;
}

Time
CallExchange::GetAttemptDeadline(const StartedRun& aRun, bool aMayRetry) const
{
  if (!aMayRetry) {
    return context_.deadline_;
  }
  const Time now = ReadMonotonicTime();
  const double remaining = ToSeconds(context_.deadline_ - now);
  const double attemptTime =
    std::clamp(kSlowAttemptFactor * aRun.choice_.expectedSeconds_,
               kMinAttemptFraction * remaining,
               kMaxAttemptFraction * remaining);
  return now + FromSeconds(attemptTime);
}

asio::awaitable<AttemptResult>
CallExchange::Run(StartedRun& aRun, bool aMayRetry)
{
  BackendCall call(services_, context_);
  RunEvidence evidence(services_, context_);
  const ScopeGuard resetCancel([this] { context_.cancel_ = nullptr; });
  context_.cancel_ = [&call] { call.Cancel(); };
  const SendOptions options = MakeSendOptions(context_, aRun.choice_);
  const Time deadline = GetAttemptDeadline(aRun, aMayRetry);
  AttemptResult result;
  result.error_ = co_await call.Start(options, true, deadline);
  if (result.error_) {
    result.isUnsent_ = result.error_->verdict_ == Verdict::NotRun;
    aRun.reservation_.SetEnd(GetRunEnd(*result.error_));
    evidence.ExamineFailure(result, options.address_);
    co_return result;
  }
  const bool isUnframed = call.GetConnection().IsUnframed();
  result = co_await ReadAndForwardResponse(
    context_, call, aRun.reservation_, writer_, aMayRetry, deadline);
  if (result.isAnswered_) {
    evidence.RecordEnd(isUnframed);
  }
  evidence.ExamineFailure(result, options.address_);
  co_return result;
}

asio::awaitable<AttemptResult>
ReadAndForwardResponse(ForwardContext& aContext,
                       BackendCall& aCall,
                       RunReservation& aReservation,
                       ResponseWriter& aWriter,
                       bool aMayRetry,
                       Time aDeadline)
{
  AttemptResult result;
  const ResponseInfo info = aCall.GetResponseInfo();
  AsyncResult<std::string> body = co_await aCall.ReadBody(aDeadline);
  if (aCall.IsRejected()) {
    // The head alone shows that the request has not run.
    aReservation.SetEnd(RunOutcome::Rejected);
    if (body) {
      aCall.ReturnToPool();
    }
    result.error_ = MakeRejectedError(info);
    co_return result;
  }
  if (!body) {
    result.error_ = body.error();
    result.error_->verdict_ = Verdict::MayHaveRun;
    aReservation.SetEnd(GetRunEnd(*result.error_));
    co_return result;
  }
  const unsigned status = aCall.GetHead().result_int();
  const bool isUnverified = !info.isVerified_ && IsSuccess(status);
  if (isUnverified || !aCall.IsResponseAttributed()) {
    result.error_ =
      Error{ ErrorCode::AnswerMismatched,
             Verdict::MayHaveRun,
             "the response cannot be verified as belonging to the request",
             {} };
    aReservation.SetEnd(RunOutcome::Failed);
    co_return result;
  }
  result.isAnswered_ = info.isVerified_;
  const bool isServerError = status >= kFirstServerError;
  aReservation.SetEnd(isServerError ? RunOutcome::Failed
                                    : RunOutcome::Completed);
  if (isServerError && aMayRetry && !aContext.IsAborted()) {
    result.errorResponse_ =
      BufferedResponse{ aCall.GetHead(), std::move(*body) };
    result.error_ = Error{ ErrorCode::BackendServerFailed,
                           Verdict::Ran,
                           "the backend server returned a server error",
                           {} };
    aCall.ReturnToPool();
    co_return result;
  }
  result.isResponseStarted_ = true;
  aContext.verdict_ = Verdict::Ran;
  co_await aWriter.WriteResponse(aCall.GetHead(), *body);
  aCall.ReturnToPool();
  co_return result;
}

} // namespace azurecross

#include "CallExchange.h"

namespace azurecross {

namespace asio = boost::asio;

namespace {

constexpr unsigned kServerError = 500;
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirect = 300;
/** An attempt that takes this many times the usual time of a call is given up
 * when another may follow: the server hangs rather than works. */
constexpr double kHangFactor = 5.0;
/** Such an attempt gets at least this part of the time left. */
constexpr double kShortestAttemptPart = 0.35;
constexpr double kLongestAttemptPart = 0.6;
/** Pause for callers whose request a server rejected. */
constexpr std::chrono::milliseconds kRejectedRetryAfter{ 250 };

bool
IsSuccess(unsigned aStatus)
{
  return aStatus >= kFirstSuccess && aStatus < kFirstRedirect;
}

Error
MakeRejectedError(const AnswerInfo& aInfo)
{
  return Error{ ErrorCode::BackendServerFailed,
                Verdict::NotRun,
                aInfo.isOtherServer_
                  ? "another backend server has the address"
                  : "the backend server did not run the request",
                kRejectedRetryAfter };
}

} // namespace

RunEnd
FindRunEnd(const Error& aError)
{
  if (aError.code_ == ErrorCode::Cancelled) {
    return RunEnd::Withdrawn;
  }
  return aError.verdict_ == Verdict::NotRun ? RunEnd::Unreachable
                                            : RunEnd::Failed;
}

SendPlan
MakeSendPlan(const ForwardContext& aContext, const PlacementChoice& aChoice)
{
  SendPlan plan;
  plan.server_ = aChoice.server_;
  plan.address_ = aChoice.address_;
  plan.timeLeft_ = aContext.end_ - ReadMonotonicTime();
  plan.customer_ = aContext.customer_;
  plan.priority_ = aContext.priority_;
  plan.keepsCallerPosition_ = aContext.route_->isResumable_;
  return plan;
}

Time
CallExchange::FindAttemptDeadline(const StartedRun& aRun, bool aMayRepeat) const
{
  if (!aMayRepeat) {
    return context_.end_;
  }
  const Time now = ReadMonotonicTime();
  const double left = ToSeconds(context_.end_ - now);
  const double attempt = std::clamp(kHangFactor * aRun.choice_.expectedSeconds_,
                                    kShortestAttemptPart * left,
                                    kLongestAttemptPart * left);
  return now + FromSeconds(attempt);
}

asio::awaitable<AttemptResult>
CallExchange::Run(StartedRun& aRun, bool aMayRepeat)
{
  BackendCall call(services_, context_);
  const ScopeGuard forget([this] { context_.cancel_ = nullptr; });
  context_.cancel_ = [&call] { call.Cancel(); };
  const SendPlan plan = MakeSendPlan(context_, aRun.choice_);
  const Time deadline = FindAttemptDeadline(aRun, aMayRepeat);
  AttemptResult result;
  result.error_ = co_await call.Start(plan, true, deadline);
  if (result.error_) {
    result.isUnsent_ = result.error_->verdict_ == Verdict::NotRun;
    aRun.reservation_.SetEnd(FindRunEnd(*result.error_));
    co_return result;
  }
  result = co_await FinishWholeAnswer(
    context_, call, aRun.reservation_, answer_, aMayRepeat, deadline);
  co_return result;
}

asio::awaitable<AttemptResult>
FinishWholeAnswer(ForwardContext& aContext,
                  BackendCall& aCall,
                  RunReservation& aHold,
                  AnswerSender& aAnswer,
                  bool aMayRepeat,
                  Time aDeadline)
{
  AttemptResult result;
  const AnswerInfo info = aCall.GetInfo();
  AsyncResult<std::string> body = co_await aCall.ReadBody(aDeadline);
  const bool isRejected = info.isNotRun_ || info.isOtherServer_;
  if (isRejected) {
    // The head alone says that the request has not run.
    aHold.SetEnd(RunEnd::Rejected);
    if (body) {
      aCall.GiveBack();
    }
    result.error_ = MakeRejectedError(info);
    co_return result;
  }
  if (!body) {
    result.error_ = body.error();
    result.error_->verdict_ = Verdict::MayHaveRun;
    aHold.SetEnd(FindRunEnd(*result.error_));
    co_return result;
  }
  const unsigned status = aCall.GetHead().result_int();
  if (!info.isGenuine_ && IsSuccess(status)) {
    result.error_ = Error{ ErrorCode::AnswerMismatched,
                           Verdict::MayHaveRun,
                           "the answer can't be told to be the request's own",
                           {} };
    aHold.SetEnd(RunEnd::Failed);
    co_return result;
  }
  const bool isFailure = status >= kServerError;
  aHold.SetEnd(isFailure ? RunEnd::Failed : RunEnd::Completed);
  if (isFailure && aMayRepeat && !aContext.IsStopped()) {
    result.kept_ = KeptAnswer{ aCall.GetHead(), std::move(*body) };
    result.error_ = Error{ ErrorCode::BackendServerFailed,
                           Verdict::Ran,
                           "the backend server answered with a failure",
                           {} };
    aCall.GiveBack();
    co_return result;
  }
  result.isAnswered_ = true;
  aContext.verdict_ = Verdict::Ran;
  co_await aAnswer.WriteWhole(aCall.GetHead(), *body);
  aCall.GiveBack();
  co_return result;
}

} // namespace azurecross

#include "GenerationExchange.h"

#include "../moves/RunMover.h"
#include "CallExchange.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace azurecross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/** How long the end of a stream may take that its engine has stopped. */
constexpr Duration kStoppedStreamTime = std::chrono::milliseconds(300);
/** How long a broken stream waits for a move in progress. Callers give up
 * after a pause of two seconds. */
constexpr Duration kMoveWait = std::chrono::milliseconds(1800);
/** Bounds the moves of one generation, against two engines that hand it to
 * each other. */
constexpr unsigned kMostResumes = 20;

} // namespace

GenerationExchange::GenerationExchange(ForwardServices& aServices,
                                       ForwardContext& aContext,
                                       AnswerSender& aAnswer)
  : services_(aServices)
  , context_(aContext)
  , answer_(aAnswer)
{
}

GenerationExchange::~GenerationExchange()
{
  if (generation_) {
    generation_->expectEnd_ = nullptr;
    services_.mover_->Remove(generation_);
  }
}

asio::awaitable<AttemptResult>
GenerationExchange::Run(StartedRun& aRun, PlacementRequest aRequest)
{
  call_ = std::make_unique<BackendCall>(services_, context_);
  const ScopeGuard forget([this] { context_.cancel_ = nullptr; });
  context_.cancel_ = [this] {
    call_->Cancel();
    if (generation_) {
      generation_->changed_.Notify();
    }
  };
  const SendPlan plan = MakeSendPlan(context_, aRun.choice_);
  AttemptResult result;
  result.error_ = co_await call_->Start(plan, false, context_.end_);
  if (result.error_) {
    result.isUnsent_ = result.error_->verdict_ == Verdict::NotRun;
    aRun.reservation_.SetEnd(FindRunEnd(*result.error_));
    co_return result;
  }
  const bool isStream = call_->GetInfo().isEventStream_ &&
                        call_->GetInfo().isGenuine_ &&
                        call_->GetHead().result() == http::status::ok;
  if (!isStream) {
    result = co_await FinishWholeAnswer(
      context_, *call_, aRun.reservation_, answer_, false, context_.end_);
    co_return result;
  }
  generation_ = std::make_shared<ActiveGeneration>(services_.executor_);
  generation_->attemptId_ = context_.demand_.attemptId_;
  generation_->request_ = std::move(aRequest);
  generation_->server_ = aRun.choice_.server_;
  generation_->address_ = aRun.choice_.address_;
  generation_->hold_ = std::move(aRun.reservation_);
  generation_->expectEnd_ = [this] { ExpectEnd(); };
  services_.mover_->Add(generation_);
  answer_.BeginStream(call_->GetHead());
  context_.verdict_ = Verdict::Ran;
  result = co_await Relay();
  co_return result;
}

void
GenerationExchange::ExpectEnd()
{
  call_->GetConnection().GetDeadline().Set(ReadMonotonicTime() +
                                           kStoppedStreamTime);
}

asio::awaitable<AttemptResult>
GenerationExchange::Relay()
{
  AttemptResult result;
  ReadOutcome outcome = ReadOutcome::Bytes;
  for (const std::string_view piece : call_->GetConnection().GetPieces()) {
    events_.Append(piece);
  }
  if (call_->GetConnection().IsDone()) {
    outcome = ReadOutcome::Ended;
  }
  for (;;) {
    const bool isPassed = co_await PassOn();
    if (!isPassed || context_.IsStopped()) {
      result = FailStream();
      co_return result;
    }
    if (outcome == ReadOutcome::Ended && IsUnframedEnd()) {
      // Only the answer to the call that stops it tells whether the engine
      // stopped the generation or whether it is complete.
      co_await AwaitMove();
    }
    if (outcome == ReadOutcome::Ended && IsUnframedEnd() &&
        generation_->stage_ != MoveStage::Stopped) {
      readError_ = Error{ ErrorCode::AnswerTruncated,
                          Verdict::Ran,
                          "a stream without framing ended during its move",
                          {} };
      result = FailStream();
      co_return result;
    }
    const bool isComplete = outcome == ReadOutcome::Ended && !IsUnframedEnd();
    if (isComplete) {
      result = co_await FinishStream();
      co_return result;
    }
    if (outcome != ReadOutcome::Bytes) {
      const bool goesOn = co_await Resume();
      if (!goesOn) {
        result = FailStream();
        co_return result;
      }
      outcome = call_->GetConnection().IsDone() ? ReadOutcome::Ended
                                                : ReadOutcome::Bytes;
      continue;
    }
    outcome = co_await Read();
  }
}

bool
GenerationExchange::IsUnframedEnd() const
{
  // A stream without framing that ends while its engine stops it for a move
  // looks complete, but is not.
  return (generation_->stage_ == MoveStage::Stopping ||
          generation_->stage_ == MoveStage::Stopped ||
          generation_->stage_ == MoveStage::Unclear) &&
         call_->GetConnection().IsUnframed();
}

asio::awaitable<GenerationExchange::ReadOutcome>
GenerationExchange::Read()
{
  BackendConnection& connection = call_->GetConnection();
  boost::system::error_code code;
  const std::size_t length = co_await connection.GetSocket().async_read_some(
    connection.PrepareRead(), asio::redirect_error(asio::use_awaitable, code));
  readError_ = connection.TakeRead(code, length);
  for (const std::string_view piece : connection.GetPieces()) {
    events_.Append(piece);
  }
  if (readError_) {
    co_return ReadOutcome::Broken;
  }
  if (events_.GetSize() > services_.limits_.eventLimitBytes_) {
    readError_ = Error{ ErrorCode::BackendServerFailed,
                        Verdict::Ran,
                        "an event is larger than the limit",
                        {} };
    co_return ReadOutcome::Broken;
  }
  co_return connection.IsDone() ? ReadOutcome::Ended : ReadOutcome::Bytes;
}

asio::awaitable<bool>
GenerationExchange::PassOn()
{
  const std::string whole = events_.TakeWholeEvents();
  if (whole.empty()) {
    co_return true;
  }
  CountEvents();
  co_return co_await answer_.WritePart(whole);
}

void
GenerationExchange::CountEvents()
{
  const Time now = ReadMonotonicTime();
  if (generation_->tokens_ == 0) {
    services_.metrics_.ObserveFirstEvent(now - context_.arrival_);
  } else {
    services_.metrics_.ObserveEventGap(now - lastEvent_);
  }
  lastEvent_ = now;
  const std::uint32_t tokensPerEvent =
    context_.pool_->engine_ ? context_.pool_->engine_->tokensPerEvent_ : 1;
  generation_->tokens_ = events_.CountEvents() * tokensPerEvent;
  services_.state_.GetLoadBoard().ObserveEvent(
    generation_->hold_.GetRun(), generation_->tokens_, now);
}

asio::awaitable<AttemptResult>
GenerationExchange::FinishStream()
{
  generation_->hold_.SetEnd(RunEnd::Completed);
  const std::string rest = events_.TakeRest();
  if (!rest.empty()) {
    co_await answer_.WritePart(rest);
  }
  co_await answer_.EndStream();
  call_->GiveBack();
  AttemptResult result;
  result.isAnswered_ = true;
  co_return result;
}

AttemptResult
GenerationExchange::FailStream()
{
  AttemptResult result;
  result.isAnswered_ = answer_.HasBegun();
  if (context_.IsStopped() || !readError_) {
    result.error_ = Error{ ErrorCode::Cancelled,
                           Verdict::Ran,
                           "the caller left or its time is over",
                           {} };
    generation_->hold_.SetEnd(RunEnd::Withdrawn);
  } else {
    result.error_ = readError_;
    result.error_->verdict_ = Verdict::Ran;
    generation_->hold_.SetEnd(RunEnd::Failed);
  }
  answer_.CloseAfterwards();
  return result;
}

asio::awaitable<void>
GenerationExchange::AwaitMove()
{
  const Time giveUp = ReadMonotonicTime() + kMoveWait;
  while (generation_->stage_ == MoveStage::Copying ||
         generation_->stage_ == MoveStage::Stopping) {
    const Duration left = giveUp - ReadMonotonicTime();
    if (left <= Duration::zero() || context_.IsStopped()) {
      break;
    }
    co_await generation_->changed_.Wait(left);
  }
}

asio::awaitable<bool>
GenerationExchange::Resume()
{
  events_.DropPart();
  co_await AwaitMove();
  if (!generation_->copy_ || generation_->copy_->handle_.empty() ||
      context_.IsStopped() || ++resumes_ > kMostResumes) {
    services_.metrics_.CountResume(false);
    co_return false;
  }
  const bool hasStopped = generation_->stage_ == MoveStage::Stopped;
  const GenerationCopy copy = *generation_->copy_;
  bool isResumed = co_await ResumeAt(copy);
  if (!isResumed && hasStopped && copy.server_ != generation_->server_ &&
      !context_.IsStopped()) {
    GenerationCopy origin = copy;
    origin.server_ = generation_->server_;
    origin.address_ = generation_->address_;
    isResumed = co_await ResumeAt(origin);
  }
  services_.metrics_.CountResume(isResumed);
  generation_->copy_.reset();
  generation_->copyHold_ = RunReservation();
  generation_->stage_ = MoveStage::None;
  generation_->isMoving_ = false;
  ++generation_->moveNumber_;
  co_return isResumed;
}

asio::awaitable<bool>
GenerationExchange::ResumeAt(GenerationCopy aCopy)
{
  SendPlan plan;
  plan.server_ = aCopy.server_;
  plan.address_ = aCopy.address_;
  plan.timeLeft_ = context_.end_ - ReadMonotonicTime();
  plan.customer_ = context_.customer_;
  plan.priority_ = context_.priority_;
  plan.copy_ = aCopy;
  plan.lastEventId_ = events_.GetLastId();
  call_ = std::make_unique<BackendCall>(services_, context_);
  const std::optional<Error> error =
    co_await call_->Start(plan, false, context_.end_);
  const bool isResumed = !error && call_->GetInfo().isEventStream_ &&
                         call_->GetInfo().isGenuine_ &&
                         call_->GetHead().result() == http::status::ok;
  services_.log_.Write(
    Decision::GenerationResumed,
    { { "request", context_.demand_.attemptId_ },
      { "outcome", isResumed ? "resumed" : "not resumed" },
      { "reason",
        error ? error->message_
              : std::to_string(isResumed ? 0 : call_->GetHead().result_int()) },
      { "from", generation_->server_ },
      { "to", aCopy.server_ },
      { "last_event", plan.lastEventId_ },
      { "tokens", generation_->tokens_ },
      { "pause_s", ToSeconds(ReadMonotonicTime() - lastEvent_) } });
  if (!isResumed) {
    co_return false;
  }
  context_.server_ = aCopy.server_;
  if (aCopy.server_ != generation_->server_) {
    generation_->server_ = aCopy.server_;
    generation_->address_ = aCopy.address_;
    generation_->hold_ = std::move(generation_->copyHold_);
  }
  for (const std::string_view piece : call_->GetConnection().GetPieces()) {
    events_.Append(piece);
  }
  co_return true;
}

} // namespace azurecross

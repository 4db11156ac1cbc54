#include "GenerationExchange.h"

#include "../moves/GenerationMover.h"
#include "CallExchange.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace azurecross {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/** Timeout for the end of a stream after its engine stopped the generation. */
constexpr Duration kStoppedStreamTimeout = std::chrono::milliseconds(300);
/**
 * How long a broken stream waits for a move in progress. Callers give up after
 * a pause of two seconds.
 */
constexpr Duration kMoveTimeout = std::chrono::milliseconds(1800);
/**
 * Limits the moves of one generation, in case two engines keep moving it back
 * and forth.
 */
constexpr unsigned kMaxResumes = 20;
/**
 * Events that prove a prompt to be sound. An engine that a prompt ends may
 * still send the first event.
 */
constexpr std::uint32_t kEventsOfAnswer = 2;
/**
 * Part of an incomplete event that takes nothing from the memory for all
 * responses, so that servers which exhaust that memory cut no sound streams.
 */
constexpr std::size_t kUnbudgetedEventBytes = std::size_t{ 16 } * 1024;

} // namespace

GenerationExchange::GenerationExchange(ForwardServices& aServices,
                                       ForwardContext& aContext,
                                       ResponseWriter& aWriter)
  : services_(aServices)
  , context_(aContext)
  , writer_(aWriter)
  , eventMemory_(aServices.responseBudget_)
  , evidence_(aServices, aContext)
{
}

GenerationExchange::~GenerationExchange()
{
  if (generation_) {
    generation_->onStopped_ = nullptr;
    services_.mover_->Remove(generation_);
  }
}

asio::awaitable<AttemptResult>
GenerationExchange::Run(StartedRun& aRun, PlacementRequest aRequest)
{
  const SocketAddress engine = aRun.choice_.address_;
  AttemptResult result = co_await Execute(aRun, std::move(aRequest));
  evidence_.ExamineFailure(
    result, generation_ ? generation_->address_ : engine, brokenAt_);
  co_return result;
}

asio::awaitable<AttemptResult>
GenerationExchange::Execute(StartedRun& aRun, PlacementRequest aRequest)
{
  call_ = std::make_unique<BackendCall>(services_, context_);
  const ScopeGuard resetCancel([this] { context_.cancel_ = nullptr; });
  context_.cancel_ = [this] {
    call_->Cancel();
    if (generation_) {
      generation_->stageChanged_.Notify();
    }
  };
  const SendOptions options = MakeSendOptions(context_, aRun.choice_);
  AttemptResult result;
  result.error_ = co_await call_->Start(options, false, context_.deadline_);
  if (result.error_) {
    result.isUnsent_ = result.error_->verdict_ == Verdict::NotRun;
    aRun.reservation_.SetEnd(GetRunEnd(*result.error_));
    co_return result;
  }
  const bool isOk = call_->GetHead().result() == http::status::ok;
  const bool isStream = call_->GetResponseInfo().isEventStream_ &&
                        call_->GetResponseInfo().isVerified_ && isOk;
  if (!isStream) {
    const bool isUnframed = call_->GetConnection().IsUnframed();
    result = co_await ReadAndForwardResponse(
      context_, *call_, aRun.reservation_, writer_, false, context_.deadline_);
    if (!result.error_ && isOk) {
      evidence_.RecordEnd(isUnframed);
    }
    co_return result;
  }
  generation_ = std::make_shared<ActiveGeneration>(services_.executor_);
  generation_->attemptId_ = context_.metadata_.attemptId_;
  generation_->request_ = std::move(aRequest);
  generation_->server_ = aRun.choice_.server_;
  generation_->address_ = aRun.choice_.address_;
  generation_->reservation_ = std::move(aRun.reservation_);
  generation_->onStopped_ = [this] { HandleStopped(); };
  services_.mover_->Add(generation_);
  writer_.BeginStream(call_->GetHead());
  context_.verdict_ = Verdict::Ran;
  result = co_await RelayStream();
  co_return result;
}

void
GenerationExchange::HandleStopped()
{
  call_->GetConnection().GetDeadline().Set(ReadMonotonicTime() +
                                           kStoppedStreamTimeout);
}

asio::awaitable<AttemptResult>
GenerationExchange::RelayStream()
{
  AttemptResult result;
  ReadOutcome outcome = ReadOutcome::Data;
  for (const std::string_view piece : call_->GetConnection().GetPieces()) {
    buffer_.Append(piece);
  }
  if (call_->GetConnection().IsDone()) {
    outcome = ReadOutcome::Complete;
  }
  for (;;) {
    const bool isForwarded = co_await ForwardEvents();
    if (!isForwarded || context_.IsAborted()) {
      result = FailStream();
      co_return result;
    }
    if (outcome == ReadOutcome::Complete && IsCutOff()) {
      readError_ = Error{ ErrorCode::AnswerTruncated,
                          Verdict::Ran,
                          "the stream of " + generation_->address_.Format() +
                            " without framing ended inside or before an event",
                          {} };
      outcome = ReadOutcome::Broken;
    }
    if (outcome == ReadOutcome::Complete && IsEndAmbiguous()) {
      // The stream may be complete, or the engine may have stopped the
      // generation; only the response to the final move request tells which.
      co_await WaitForMove();
    }
    if (outcome == ReadOutcome::Complete && IsEndAmbiguous() &&
        generation_->stage_ != MoveStage::Stopped) {
      readError_ = Error{ ErrorCode::AnswerTruncated,
                          Verdict::Ran,
                          "a stream without framing ended during a move",
                          {} };
      result = FailStream();
      co_return result;
    }
    const bool isComplete =
      outcome == ReadOutcome::Complete && !IsEndAmbiguous();
    if (isComplete) {
      result = co_await FinishStream();
      co_return result;
    }
    if (outcome != ReadOutcome::Data) {
      brokenAt_ = ReadMonotonicTime();
      const bool hasResumed = co_await Resume();
      if (!hasResumed) {
        result = FailStream();
        co_return result;
      }
      brokenAt_.reset();
      outcome = call_->GetConnection().IsDone() ? ReadOutcome::Complete
                                                : ReadOutcome::Data;
      continue;
    }
    outcome = co_await ReadStream();
  }
}

bool
GenerationExchange::IsEndAmbiguous() const
{
  // Without framing, the end of a complete stream and the end of a stream that
  // the engine stopped for a move look the same.
  return (generation_->stage_ == MoveStage::Stopping ||
          generation_->stage_ == MoveStage::Stopped ||
          generation_->stage_ == MoveStage::Unanswered ||
          generation_->stage_ == MoveStage::Indeterminate) &&
         call_->GetConnection().IsUnframed();
}

bool
GenerationExchange::IsCutOff() const
{
  // With a length or chunks, the engine has declared the end of the stream, and
  // its bytes are passed on unchanged.
  return call_->GetConnection().IsUnframed() &&
         (buffer_.GetSize() > 0 || !writer_.HasStarted());
}

asio::awaitable<GenerationExchange::ReadOutcome>
GenerationExchange::ReadStream()
{
  BackendConnection& connection = call_->GetConnection();
  boost::system::error_code code;
  const std::size_t length = co_await connection.GetSocket().async_read_some(
    connection.PrepareRead(), asio::redirect_error(asio::use_awaitable, code));
  readError_ = connection.TakeRead(code, length);
  for (const std::string_view piece : connection.GetPieces()) {
    buffer_.Append(piece);
  }
  if (readError_) {
    co_return ReadOutcome::Broken;
  }
  if (!ReserveEventMemory()) {
    readError_ = Error{ ErrorCode::BackendServerFailed,
                        Verdict::Ran,
                        "an event is larger than its limit or than the memory "
                        "for all responses",
                        {} };
    co_return ReadOutcome::Broken;
  }
  co_return connection.IsDone() ? ReadOutcome::Complete : ReadOutcome::Data;
}

bool
GenerationExchange::ReserveEventMemory()
{
  const std::size_t size = buffer_.GetSize();
  return size <= services_.limits_.eventLimitBytes_ &&
         eventMemory_.Resize(
           size - std::min<std::size_t>(size, kUnbudgetedEventBytes));
}

asio::awaitable<bool>
GenerationExchange::ForwardEvents()
{
  const std::string completeEvents = buffer_.TakeCompleteEvents();
  ReserveEventMemory();
  if (completeEvents.empty()) {
    co_return true;
  }
  RecordEvents();
  co_return co_await writer_.WriteStreamData(completeEvents);
}

void
GenerationExchange::RecordEvents()
{
  const Time now = ReadMonotonicTime();
  timing_.RecordEvents(
    context_.arrival_,
    now,
    services_.state_.GetLoadTracker().Find(generation_->server_));
  if (generation_->tokens_ == 0) {
    services_.metrics_.ObserveFirstEvent(timing_.GetFirstEventTime());
  } else {
    services_.metrics_.ObserveEventGap(timing_.GetLastGap());
  }
  lastEventTime_ = now;
  const std::uint32_t tokensPerEvent =
    context_.pool_->engine_ ? context_.pool_->engine_->tokensPerEvent_ : 1;
  generation_->tokens_ = buffer_.CountEvents() * tokensPerEvent;
  if (buffer_.CountEvents() >= kEventsOfAnswer) {
    evidence_.RecordAnswer();
  }
  services_.state_.GetLoadTracker().ObserveEvent(
    generation_->reservation_.GetRun(), generation_->tokens_, now);
}

asio::awaitable<AttemptResult>
GenerationExchange::FinishStream()
{
  generation_->reservation_.SetEnd(RunOutcome::Completed);
  evidence_.RecordEnd(call_->GetConnection().IsUnframed());
  const std::string remainder = buffer_.TakeRemainder();
  if (!remainder.empty()) {
    co_await writer_.WriteStreamData(remainder);
  }
  co_await writer_.EndStream();
  RecordTiming();
  call_->ReturnToPool();
  AttemptResult result;
  result.isResponseStarted_ = true;
  co_return result;
}

void
GenerationExchange::RecordTiming()
{
  const ServingRoute& route = *context_.route_;
  const auto cause = timing_.FindCause(route.latencyTarget_, route.gapTarget_);
  if (!cause) {
    return;
  }
  services_.metrics_.CountLateStream(*cause);
  const EngineSnapshot& engine = *cause == LateCause::FirstEvent
                                   ? timing_.GetEngineAtFirstEvent()
                                   : timing_.GetEngineAtLongestGap();
  services_.log_.Write(
    Decision::StreamLate,
    { { "request", context_.metadata_.attemptId_ },
      { "route", route.name_ },
      { "cause", kLateCauseNames.FindName(*cause) },
      { "first_event_s", ToSeconds(timing_.GetFirstEventTime()) },
      { "first_event_target_s", ToSeconds(route.latencyTarget_) },
      { "longest_gap_s", ToSeconds(timing_.GetLongestGap()) },
      { "gap_target_s", ToSeconds(route.gapTarget_) },
      { "backend_server", engine.server_ },
      { "runs", engine.runs_ },
      { "pending_prompt_tokens", engine.pendingPromptTokens_ },
      { "s_per_token", engine.secondsPerToken_ },
      { "resumes", resumeCount_ } });
}

AttemptResult
GenerationExchange::FailStream()
{
  AttemptResult result;
  result.isResponseStarted_ = writer_.HasStarted();
  if (context_.IsAborted() || !readError_) {
    result.error_ = Error{ ErrorCode::Cancelled,
                           Verdict::Ran,
                           "the caller disconnected or its deadline passed",
                           {} };
    generation_->reservation_.SetEnd(RunOutcome::Withdrawn);
  } else {
    result.error_ = readError_;
    result.error_->verdict_ = Verdict::Ran;
    generation_->reservation_.SetEnd(RunOutcome::Failed);
  }
  writer_.CloseAfterResponse();
  return result;
}

asio::awaitable<void>
GenerationExchange::WaitForMove()
{
  const Time moveDeadline = ReadMonotonicTime() + kMoveTimeout;
  while (generation_->stage_ == MoveStage::Copying ||
         generation_->stage_ == MoveStage::Stopping) {
    const Duration remaining = moveDeadline - ReadMonotonicTime();
    if (remaining <= Duration::zero() || context_.IsAborted()) {
      break;
    }
    co_await generation_->stageChanged_.Wait(remaining);
  }
}

asio::awaitable<void>
GenerationExchange::WaitForStop()
{
  services_.mover_->StopBroken(generation_);
  while (generation_->isMoving_ && !context_.IsAborted()) {
    Duration timeout = kMoveTimeout;
    if (generation_->stage_ == MoveStage::Stopping) {
      timeout =
        generation_->stopRequestedAt_ + kMoveTimeout - ReadMonotonicTime();
    }
    if (timeout <= Duration::zero()) {
      break;
    }
    co_await generation_->stageChanged_.Wait(timeout);
  }
}

bool
GenerationExchange::MayStillRun() const
{
  switch (generation_->stage_) {
    case MoveStage::Stopping: // A request this old has reached the engine.
    case MoveStage::Stopped:
    case MoveStage::AlreadyEnded:
    case MoveStage::EngineGone:
    case MoveStage::Unanswered:
      return false;
    case MoveStage::None:
    case MoveStage::Copying:
    case MoveStage::Copied:
    case MoveStage::Indeterminate:
      break;
  }
  return true;
}

asio::awaitable<bool>
GenerationExchange::Resume()
{
  buffer_.DiscardPartialEvent();
  co_await WaitForStop();
  if (!generation_->copy_ || generation_->copy_->handle_.empty() ||
      context_.IsAborted() || evidence_.IsQuarantined() || MayStillRun() ||
      ++resumeCount_ > kMaxResumes) {
    services_.metrics_.CountResume(false);
    co_return false;
  }
  const bool isStopped = generation_->stage_ == MoveStage::Stopped;
  // From here on the copy belongs to the resume: a move that still waits for
  // the response to its request must change neither the generation nor the
  // connection to its new engine.
  ++generation_->moveId_;
  const KvCacheCopy copy = *generation_->copy_;
  std::optional<Verdict> failure = co_await ResumeFrom(copy);
  // A target that may have begun could run the generation beside its source.
  if (failure == Verdict::NotRun && isStopped &&
      copy.server_ != generation_->server_ && !context_.IsAborted()) {
    KvCacheCopy sourceCopy = copy;
    sourceCopy.server_ = generation_->server_;
    sourceCopy.address_ = generation_->address_;
    failure = co_await ResumeFrom(sourceCopy);
  }
  const bool isResumed = !failure;
  services_.metrics_.CountResume(isResumed);
  generation_->copy_.reset();
  generation_->copyReservation_ = RunReservation();
  generation_->stage_ = MoveStage::None;
  generation_->isMoving_ = false;
  generation_->isBroken_ = false;
  if (isResumed) {
    services_.mover_->MoveIfDraining(generation_);
  }
  co_return isResumed;
}

void
GenerationExchange::LogResume(const KvCacheCopy& aCopy,
                              std::string_view aReason,
                              bool aIsResumed)
{
  services_.log_.Write(
    Decision::GenerationResumed,
    { { "request", context_.metadata_.attemptId_ },
      { "outcome", aIsResumed ? "resumed" : "not resumed" },
      { "reason", aReason },
      { "from", generation_->server_ },
      { "to", aCopy.server_ },
      { "last_event", buffer_.GetLastId() },
      { "tokens", generation_->tokens_ },
      { "pause_s", ToSeconds(ReadMonotonicTime() - lastEventTime_) } });
}

asio::awaitable<std::optional<Verdict>>
GenerationExchange::ResumeFrom(KvCacheCopy aCopy)
{
  if (!services_.state_.MayResumeAt(aCopy.server_, ReadMonotonicTime())) {
    LogResume(aCopy, "the zone of the engine is evacuated");
    co_return Verdict::NotRun;
  }
  SendOptions options;
  options.server_ = aCopy.server_;
  options.address_ = aCopy.address_;
  options.remainingTime_ = context_.deadline_ - ReadMonotonicTime();
  options.customer_ = context_.customer_;
  options.priority_ = context_.priority_;
  options.copy_ = aCopy;
  options.lastEventId_ = buffer_.GetLastId();
  call_ = std::make_unique<BackendCall>(services_, context_);
  services_.state_.CountUnplacedRequest(aCopy.server_, ReadMonotonicTime());
  const std::optional<Error> error =
    co_await call_->Start(options, false, context_.deadline_);
  const bool isResumed = !error && call_->GetResponseInfo().isEventStream_ &&
                         call_->GetResponseInfo().isVerified_ &&
                         call_->GetHead().result() == http::status::ok;
  LogResume(aCopy,
            isResumed ? "0"
                      : (error ? error->message_
                               : std::to_string(call_->GetHead().result_int())),
            isResumed);
  if (error) {
    co_return error->verdict_;
  }
  if (!isResumed) {
    co_return call_->IsRejected() ? Verdict::NotRun : Verdict::MayHaveRun;
  }
  context_.server_ = aCopy.server_;
  if (aCopy.server_ != generation_->server_) {
    generation_->server_ = aCopy.server_;
    generation_->address_ = aCopy.address_;
    generation_->reservation_ = std::move(generation_->copyReservation_);
  }
  for (const std::string_view piece : call_->GetConnection().GetPieces()) {
    buffer_.Append(piece);
  }
  co_return std::nullopt;
}

} // namespace azurecross

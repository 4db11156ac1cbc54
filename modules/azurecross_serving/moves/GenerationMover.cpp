#include "GenerationMover.h"

#include "../forward/ConnectProbe.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace azurecross {

namespace asio = boost::asio;

namespace {

/**
 * Copies queue on the link of an engine. An engine that has not responded
 * within this time is considered gone.
 */
constexpr Duration kMoveTimeout = std::chrono::milliseconds(2500);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
/**
 * How long the engine of a broken stream is asked to stop. Callers give up
 * after a pause of two seconds.
 */
constexpr Duration kStopTimeout = std::chrono::milliseconds(1800);
/** Pause between two requests to stop a generation. */
constexpr Duration kStopInterval = std::chrono::milliseconds(50);
/**
 * Copies of a running generation before the mover stops trying and relies on
 * the last copy when the engine ends. Each copy but the first waits for the
 * copies of other generations.
 */
constexpr int kMaxCopies = 12;
/** Target engines that are tried before the generation stays where it is. */
constexpr int kMaxTargets = 3;

HttpClientLimits
MakeLimits()
{
  HttpClientLimits limits;
  limits.connectTimeout_ = kConnectTimeout;
  limits.answerTimeout_ = kMoveTimeout;
  limits.bodyLimitBytes_ = kEngineResponseLimitBytes;
  return limits;
}

} // namespace

GenerationMover::GenerationMover(asio::io_context& aContext,
                                 ForwardServices& aServices)
  : context_(aContext)
  , services_(aServices)
  , client_(aContext.get_executor(), MakeLimits())
{
}

void
GenerationMover::Add(const GenerationPtr& aGeneration)
{
  generations_.insert(aGeneration);
  // The engine may have started to drain while it processed the prompt.
  MoveIfDraining(aGeneration);
}

void
GenerationMover::MoveIfDraining(const GenerationPtr& aGeneration)
{
  const ServerLoad* server =
    services_.state_.GetLoadTracker().Find(aGeneration->server_);
  if (server != nullptr && server->record_.state_ == ServerState::Draining) {
    StartMove(aGeneration);
  }
}

void
GenerationMover::StartMove(const GenerationPtr& aGeneration)
{
  if (aGeneration->stage_ == MoveStage::None && !aGeneration->isMoving_) {
    // Set before the coroutine runs, so that no second move can be started.
    aGeneration->stage_ = MoveStage::Copying;
    aGeneration->isMoving_ = true;
    const unsigned moveId = ++aGeneration->moveId_;
    asio::co_spawn(
      context_, MoveGeneration(aGeneration, moveId), asio::detached);
  }
}

void
GenerationMover::Remove(const GenerationPtr& aGeneration)
{
  aGeneration->isFinished_ = true;
  generations_.erase(aGeneration);
  // A move in progress releases the copy itself.
  if (aGeneration->copy_ && !aGeneration->isMoving_) {
    asio::co_spawn(context_, ReleaseCopy(*aGeneration->copy_), asio::detached);
  }
}

GenerationMover::GenerationPtr
GenerationMover::FindGeneration(RunId aRun) const
{
  for (const GenerationPtr& generation : generations_) {
    if (generation->reservation_.GetRun() == aRun) {
      return generation;
    }
  }
  return nullptr;
}

void
GenerationMover::EvacuateServer(const BackendServerId& aServer)
{
  const ServerLoadTracker& tracker = services_.state_.GetLoadTracker();
  const std::size_t runs = tracker.FindRunsOn(aServer).size();
  if (runs == 0) {
    return;
  }
  const std::vector<PlannedMove> moves = MovePlanner::Plan(tracker, aServer);
  services_.log_.Write(Decision::MovePlanned,
                       { { "backend_server", aServer },
                         { "runs", runs },
                         { "moves", moves.size() } });
  for (const PlannedMove& move : moves) {
    const GenerationPtr generation = FindGeneration(move.run_);
    if (generation) {
      StartMove(generation);
    }
  }
}

bool
GenerationMover::ReserveTarget(ActiveGeneration& aGeneration,
                               const std::vector<BackendServerId>& aExcluded)
{
  const Time now = ReadMonotonicTime();
  ServerLoadTracker& tracker = services_.state_.GetLoadTracker();
  PlacementRequest request = aGeneration.request_;
  request.outputTokens_ = std::max(aGeneration.tokens_, 1U);
  request.excludedServers_ = aExcluded;
  const ServerLoad* source = tracker.Find(aGeneration.server_);
  if (source != nullptr) {
    request.preferredZone_ = source->record_.zone_;
  }
  const auto choice = services_.dispatch_.GetPlacement().Choose(
    tracker, services_.state_.GetLimiter(), request, now);
  if (!choice) {
    LogStep(aGeneration, "place", "no room");
    return false;
  }
  aGeneration.copyReservation_ =
    RunReservation(services_.state_,
                   tracker.Start({ choice->server_,
                                   request.route_,
                                   request.customer_,
                                   request.kind_,
                                   request.demand_,
                                   request.outputTokens_,
                                   now }));
  KvCacheCopy copy;
  copy.server_ = choice->server_;
  copy.address_ = choice->address_;
  copy.source_ = aGeneration.address_;
  aGeneration.copy_ = copy;
  return true;
}

asio::awaitable<bool>
GenerationMover::MakeFirstCopy(GenerationPtr aGeneration)
{
  std::vector<BackendServerId> excluded = { aGeneration->server_ };
  for (int attempts = 0; attempts < kMaxTargets; ++attempts) {
    aGeneration->copy_.reset();
    if (!ReserveTarget(*aGeneration, excluded)) {
      co_return false;
    }
    const BackendServerId target = aGeneration->copy_->server_;
    const MoveResult result = co_await CopyWhileRunning(aGeneration);
    if (result == MoveResult::Copied) {
      co_return true;
    }
    if (result != MoveResult::NoRoom || aGeneration->isFinished_) {
      co_return false;
    }
    excluded.push_back(target);
  }
  co_return false;
}

bool
GenerationMover::IsTargetEvacuated(const ActiveGeneration& aGeneration) const
{
  const ServerLoad* target =
    services_.state_.GetLoadTracker().Find(aGeneration.copy_->server_);
  return target != nullptr && target->isEvacuated_;
}

asio::awaitable<void>
GenerationMover::MoveGeneration(GenerationPtr aGeneration, unsigned aMoveId)
{
  const ScopeGuard finish([&] { FinishMove(aGeneration, aMoveId); });
  co_await CopyAndStop(aGeneration, aMoveId);
  if (aGeneration->isBroken_) {
    co_await StopUntilKnown(aGeneration, aMoveId);
  }
}

asio::awaitable<void>
GenerationMover::CopyAndStop(GenerationPtr aGeneration, unsigned aMoveId)
{
  bool isCopied = co_await MakeFirstCopy(aGeneration);
  aGeneration->stageChanged_.Notify();
  for (int copies = 1; isCopied && copies < kMaxCopies; ++copies) {
    // Meanwhile the generation may have ended, or resumed from the copy after
    // its engine was gone.
    if (aGeneration->moveId_ != aMoveId || aGeneration->isFinished_ ||
        aGeneration->isBroken_) {
      co_return;
    }
    if (IsTargetEvacuated(*aGeneration)) {
      co_await ReleaseCopy(*aGeneration->copy_);
      isCopied = aGeneration->moveId_ == aMoveId && !aGeneration->isFinished_ &&
                 co_await MakeFirstCopy(aGeneration);
      continue;
    }
    const Time copyStart = ReadMonotonicTime();
    const MoveResult result = co_await CopyWhileRunning(aGeneration);
    isCopied = result == MoveResult::Copied && aGeneration->moveId_ == aMoveId;
    if (isCopied && !aGeneration->isFinished_ &&
        MovePlanner::IsLinkFree(ReadMonotonicTime() - copyStart)) {
      co_await StopAndCopyRemainder(aGeneration);
      co_return;
    }
  }
}

asio::awaitable<void>
GenerationMover::StopGeneration(GenerationPtr aGeneration, unsigned aMoveId)
{
  const ScopeGuard finish([&] { FinishMove(aGeneration, aMoveId); });
  co_await StopUntilKnown(aGeneration, aMoveId);
}

void
GenerationMover::FinishMove(const GenerationPtr& aGeneration, unsigned aMoveId)
{
  if (aGeneration->moveId_ != aMoveId) {
    return;
  }
  aGeneration->isMoving_ = false;
  if (aGeneration->isFinished_ && aGeneration->copy_) {
    asio::co_spawn(context_, ReleaseCopy(*aGeneration->copy_), asio::detached);
    aGeneration->copy_.reset();
  }
  if (aGeneration->stage_ == MoveStage::Copying) {
    aGeneration->stage_ = MoveStage::None;
  } else if (aGeneration->stage_ == MoveStage::Stopping) {
    aGeneration->stage_ = MoveStage::Indeterminate;
  }
  if (!aGeneration->copy_) {
    aGeneration->copyReservation_ = RunReservation();
  }
  aGeneration->stageChanged_.Notify();
}

void
GenerationMover::StopBroken(const GenerationPtr& aGeneration)
{
  aGeneration->isBroken_ = true;
  const bool isKnown = aGeneration->stage_ == MoveStage::Stopped ||
                       aGeneration->stage_ == MoveStage::AlreadyEnded;
  if (aGeneration->isMoving_ || isKnown || !aGeneration->copy_ ||
      aGeneration->copy_->handle_.empty()) {
    return;
  }
  aGeneration->isMoving_ = true;
  const unsigned moveId = ++aGeneration->moveId_;
  asio::co_spawn(context_, StopGeneration(aGeneration, moveId), asio::detached);
}

asio::awaitable<void>
GenerationMover::StopUntilKnown(GenerationPtr aGeneration, unsigned aMoveId)
{
  const Time deadline = ReadMonotonicTime() + kStopTimeout;
  asio::steady_timer timer(context_);
  for (;;) {
    const bool isKnown = aGeneration->stage_ == MoveStage::Stopped ||
                         aGeneration->stage_ == MoveStage::AlreadyEnded;
    if (isKnown || aGeneration->moveId_ != aMoveId ||
        aGeneration->isFinished_ || !aGeneration->copy_ ||
        aGeneration->copy_->handle_.empty()) {
      co_return;
    }
    const MoveResult result = co_await StopAndCopyRemainder(aGeneration);
    const bool isStillUnknown = aGeneration->moveId_ == aMoveId &&
                                aGeneration->stage_ == MoveStage::Stopping;
    if (!isStillUnknown || co_await ExamineEngine(aGeneration, result)) {
      co_return;
    }
    if (aGeneration->moveId_ != aMoveId) {
      co_return;
    }
    aGeneration->stage_ = MoveStage::Indeterminate;
    if (ReadMonotonicTime() >= deadline) {
      LogStep(*aGeneration, "stop", "not confirmed");
      co_return;
    }
    timer.expires_after(kStopInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<bool>
GenerationMover::ExamineEngine(GenerationPtr aGeneration, MoveResult aResult)
{
  const unsigned moveId = aGeneration->moveId_;
  if (aResult == MoveResult::NoResponse) {
    aGeneration->stage_ = MoveStage::Unanswered;
    co_return true;
  }
  // An engine that has no connection left resets new ones, or its answer was
  // lost or malformed. Only one that doesn't take a connection at all is gone.
  const ConnectOutcome outcome =
    co_await ProbeConnect(aGeneration->address_, kConnectTimeout);
  const bool isGone = outcome == ConnectOutcome::Refused ||
                      (outcome == ConnectOutcome::Unanswered &&
                       aResult == MoveResult::Unreachable);
  if (isGone && aGeneration->moveId_ == moveId) {
    aGeneration->stage_ = MoveStage::EngineGone;
    LogStep(*aGeneration, "stop", "engine gone");
  }
  co_return isGone;
}

asio::awaitable<MoveResult>
GenerationMover::CopyWhileRunning(GenerationPtr aGeneration)
{
  MoveRequest moveRequest;
  moveRequest.attemptId_ = aGeneration->attemptId_;
  moveRequest.target_ = aGeneration->copy_->address_;
  const unsigned moveId = aGeneration->moveId_;
  const MoveResponse moveResponse =
    co_await SendMoveRequest(aGeneration->address_, moveRequest);
  LogStep(
    *aGeneration, "copy", kMoveResultNames.FindName(moveResponse.result_));
  if (aGeneration->moveId_ != moveId || !aGeneration->copy_) {
    co_return MoveResult::Unknown;
  }
  if (moveResponse.result_ == MoveResult::Copied) {
    aGeneration->copy_->handle_ = moveResponse.handle_;
    aGeneration->stage_ = MoveStage::Copied;
  } else if (aGeneration->copy_->handle_.empty()) {
    // Without a handle there is no earlier copy that could still be used.
    aGeneration->copy_.reset();
  }
  co_return moveResponse.result_;
}

asio::awaitable<MoveResult>
GenerationMover::StopAndCopyRemainder(GenerationPtr aGeneration)
{
  aGeneration->stage_ = MoveStage::Stopping;
  aGeneration->stopRequestedAt_ = ReadMonotonicTime();
  MoveRequest moveRequest;
  moveRequest.attemptId_ = aGeneration->attemptId_;
  moveRequest.target_ = aGeneration->copy_->address_;
  moveRequest.isFinal_ = true;
  const unsigned moveId = aGeneration->moveId_;
  const MoveResponse moveResponse =
    co_await SendMoveRequest(aGeneration->address_, moveRequest);
  LogStep(
    *aGeneration, "stop", kMoveResultNames.FindName(moveResponse.result_));
  if (aGeneration->moveId_ != moveId || !aGeneration->copy_) {
    // The stream broke, and its exchange resumes it from the copy without
    // waiting for this response.
    co_return MoveResult::Unknown;
  }
  if (moveResponse.result_ == MoveResult::NoSuchRun) {
    aGeneration->stage_ = MoveStage::AlreadyEnded;
    co_return MoveResult::NoSuchRun;
  }
  if (moveResponse.result_ == MoveResult::NoRoom &&
      !moveResponse.handle_.empty()) {
    // The target has no room, but the engine that stopped the generation can
    // resume it.
    aGeneration->copy_->server_ = aGeneration->server_;
    aGeneration->copy_->address_ = aGeneration->address_;
  }
  if (!moveResponse.handle_.empty()) {
    aGeneration->copy_->handle_ = moveResponse.handle_;
    aGeneration->stage_ = MoveStage::Stopped;
    if (aGeneration->onStopped_) {
      aGeneration->onStopped_();
    }
  }
  co_return moveResponse.result_;
}

asio::awaitable<MoveResponse>
GenerationMover::SendMoveRequest(SocketAddress aEngine,
                                 MoveRequest aMoveRequest)
{
  HttpRequest request = services_.wire_.BuildMoveRequest(aMoveRequest);
  const AsyncResult<HttpResponse> response =
    co_await client_.Send(aEngine, std::move(request));
  if (!response) {
    MoveResponse failure;
    if (response.error().verdict_ == Verdict::NotRun) {
      failure.result_ = MoveResult::Unreachable;
    } else if (response.error().code_ == ErrorCode::DeadlineExceeded) {
      failure.result_ = MoveResult::NoResponse;
    }
    co_return failure;
  }
  co_return services_.wire_.ParseMoveResponse(*response);
}

asio::awaitable<void>
GenerationMover::ReleaseCopy(KvCacheCopy aCopy)
{
  if (aCopy.handle_.empty()) {
    co_return;
  }
  HttpRequest request = services_.wire_.BuildReleaseRequest(aCopy.handle_);
  const auto response =
    co_await client_.Send(aCopy.source_, std::move(request));
  services_.metrics_.CountMove(response ? "copy dropped" : "copy left");
}

void
GenerationMover::LogStep(const ActiveGeneration& aGeneration,
                         std::string_view aStep,
                         std::string_view aOutcome)
{
  services_.metrics_.CountMove(std::string(aStep) + " " +
                               std::string(aOutcome));
  services_.log_.Write(
    Decision::MoveEnded,
    { { "request", aGeneration.attemptId_ },
      { "step", aStep },
      { "outcome", aOutcome },
      { "from", aGeneration.server_ },
      { "to", aGeneration.copy_ ? aGeneration.copy_->server_.GetValue() : "" },
      { "tokens", aGeneration.tokens_ } });
}

} // namespace azurecross

#include "RunMover.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace azurecross {

namespace asio = boost::asio;

namespace {

/** Copies wait for each other on an engine's link; an engine that has not
 * answered by then is gone. */
constexpr Duration kMoveTimeout = std::chrono::milliseconds(2500);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
/** Copies of a running generation before the move is left to the engine's end:
 * each but the first waits for the copies of other generations. */
constexpr int kMostCopies = 12;
/** Engines that are asked to take a generation before it stays. */
constexpr int kMostPlaces = 3;

HttpClientLimits
MakeLimits()
{
  HttpClientLimits limits;
  limits.connectTimeout_ = kConnectTimeout;
  limits.answerTimeout_ = kMoveTimeout;
  return limits;
}

} // namespace

RunMover::RunMover(asio::io_context& aContext, ForwardServices& aServices)
  : context_(aContext)
  , services_(aServices)
  , client_(aContext.get_executor(), MakeLimits())
{
}

void
RunMover::Add(const Generation& aGeneration)
{
  generations_.insert(aGeneration);
  // Its engine may have begun to leave while it read the prompt.
  const ServerLoad* server =
    services_.state_.GetLoadBoard().Find(aGeneration->server_);
  if (server != nullptr && server->record_.state_ == ServerState::Draining) {
    StartMove(aGeneration);
  }
}

void
RunMover::StartMove(const Generation& aGeneration)
{
  if (aGeneration->stage_ == MoveStage::None && !aGeneration->isMoving_) {
    asio::co_spawn(context_, MoveOne(aGeneration), asio::detached);
  }
}

void
RunMover::Remove(const Generation& aGeneration)
{
  aGeneration->isFinished_ = true;
  generations_.erase(aGeneration);
  // While a copy is being made, the coroutine that makes it drops it.
  if (aGeneration->copy_ && !aGeneration->isMoving_) {
    asio::co_spawn(context_, DropCopy(*aGeneration->copy_), asio::detached);
  }
}

RunMover::Generation
RunMover::Find(RunNumber aRun) const
{
  for (const Generation& generation : generations_) {
    if (generation->hold_.GetRun() == aRun) {
      return generation;
    }
  }
  return nullptr;
}

void
RunMover::LeaveServer(const BackendServerId& aServer)
{
  const LoadBoard& board = services_.state_.GetLoadBoard();
  const std::size_t runs = board.FindRunsOn(aServer).size();
  if (runs == 0) {
    return;
  }
  const std::vector<PlannedMove> moves = MoveSchedule::Plan(board, aServer);
  services_.log_.Write(Decision::MovePlanned,
                       { { "backend_server", aServer },
                         { "runs", runs },
                         { "moves", moves.size() } });
  for (const PlannedMove& move : moves) {
    const Generation generation = Find(move.run_);
    if (generation) {
      StartMove(generation);
    }
  }
}

bool
RunMover::FindPlace(ActiveGeneration& aGeneration,
                    const std::vector<BackendServerId>& aExcluded)
{
  const Time now = ReadMonotonicTime();
  LoadBoard& board = services_.state_.GetLoadBoard();
  PlacementRequest request = aGeneration.request_;
  request.tokens_ = std::max(aGeneration.tokens_, 1U);
  request.excluded_ = aExcluded;
  const ServerLoad* source = board.Find(aGeneration.server_);
  if (source != nullptr) {
    request.preferredZone_ = source->record_.zone_;
  }
  const auto choice =
    services_.dispatch_.GetPlacement().Choose(board, request, now);
  if (!choice) {
    LogEnd(aGeneration, "place", "no room");
    return false;
  }
  aGeneration.copyHold_ = RunReservation(services_.state_,
                                         board.Start({ choice->server_,
                                                       request.route_,
                                                       request.customer_,
                                                       request.kind_,
                                                       request.demand_,
                                                       request.tokens_,
                                                       now }));
  GenerationCopy copy;
  copy.server_ = choice->server_;
  copy.address_ = choice->address_;
  copy.origin_ = aGeneration.address_;
  aGeneration.copy_ = copy;
  return true;
}

asio::awaitable<bool>
RunMover::MakeFirstCopy(Generation aGeneration)
{
  std::vector<BackendServerId> excluded = { aGeneration->server_ };
  for (int places = 0; places < kMostPlaces; ++places) {
    aGeneration->copy_.reset();
    if (!FindPlace(*aGeneration, excluded)) {
      co_return false;
    }
    const BackendServerId place = aGeneration->copy_->server_;
    const MoveResult result = co_await CopyRunning(aGeneration);
    if (result == MoveResult::Copied) {
      co_return true;
    }
    if (result != MoveResult::NoRoom || aGeneration->isFinished_) {
      co_return false;
    }
    excluded.push_back(place);
  }
  co_return false;
}

asio::awaitable<void>
RunMover::MoveOne(Generation aGeneration)
{
  aGeneration->stage_ = MoveStage::Copying;
  const unsigned number = ++aGeneration->moveNumber_;
  aGeneration->isMoving_ = true;
  const ScopeGuard ended([&] {
    if (aGeneration->moveNumber_ == number) {
      aGeneration->isMoving_ = false;
    }
  });
  bool isCopied = co_await MakeFirstCopy(aGeneration);
  aGeneration->changed_.Notify();
  for (int copies = 1; isCopied && copies < kMostCopies; ++copies) {
    // Meanwhile it may have ended, or gone on from the copy after its engine
    // was gone.
    if (aGeneration->moveNumber_ != number) {
      co_return;
    }
    if (aGeneration->isFinished_) {
      break;
    }
    const Time began = ReadMonotonicTime();
    const MoveResult result = co_await CopyRunning(aGeneration);
    isCopied =
      result == MoveResult::Copied && aGeneration->moveNumber_ == number;
    if (isCopied && !aGeneration->isFinished_ &&
        MoveSchedule::IsLinkFree(ReadMonotonicTime() - began)) {
      co_await StopAndCopyRest(aGeneration);
      break;
    }
  }
  if (aGeneration->moveNumber_ != number) {
    co_return;
  }
  const bool isOver =
    aGeneration->isFinished_ || aGeneration->stage_ == MoveStage::Ended;
  if (isOver && aGeneration->copy_) {
    const GenerationCopy copy = *aGeneration->copy_;
    aGeneration->copy_.reset();
    aGeneration->changed_.Notify();
    co_await DropCopy(copy);
  }
  if (aGeneration->stage_ == MoveStage::Copying) {
    aGeneration->stage_ = MoveStage::None;
  } else if (aGeneration->stage_ == MoveStage::Stopping) {
    aGeneration->stage_ = MoveStage::Unclear;
  }
  if (!aGeneration->copy_) {
    aGeneration->copyHold_ = RunReservation();
  }
  aGeneration->changed_.Notify();
}

asio::awaitable<MoveResult>
RunMover::CopyRunning(Generation aGeneration)
{
  MoveCall call;
  call.attemptId_ = aGeneration->attemptId_;
  call.target_ = aGeneration->copy_->address_;
  const unsigned number = aGeneration->moveNumber_;
  const MoveAnswer answer = co_await CallMove(aGeneration->address_, call);
  LogEnd(*aGeneration, "copy", kMoveResultNames.FindName(answer.result_));
  if (aGeneration->moveNumber_ != number || !aGeneration->copy_) {
    co_return MoveResult::Unknown;
  }
  if (answer.result_ == MoveResult::Copied) {
    aGeneration->copy_->handle_ = answer.handle_;
    aGeneration->stage_ = MoveStage::Copied;
  } else if (aGeneration->copy_->handle_.empty()) {
    // An earlier copy stays usable.
    aGeneration->copy_.reset();
  }
  co_return answer.result_;
}

asio::awaitable<void>
RunMover::StopAndCopyRest(Generation aGeneration)
{
  aGeneration->stage_ = MoveStage::Stopping;
  MoveCall call;
  call.attemptId_ = aGeneration->attemptId_;
  call.target_ = aGeneration->copy_->address_;
  call.isLast_ = true;
  const MoveAnswer answer = co_await CallMove(aGeneration->address_, call);
  LogEnd(*aGeneration, "stop", kMoveResultNames.FindName(answer.result_));
  if (!aGeneration->copy_ || aGeneration->stage_ != MoveStage::Stopping) {
    // Its stream broke off and went on from the copy before this answer.
    co_return;
  }
  if (answer.result_ == MoveResult::NoSuchRun) {
    aGeneration->stage_ = MoveStage::Ended;
    co_return;
  }
  if (answer.result_ == MoveResult::NoRoom && !answer.handle_.empty()) {
    // It has stopped, and the engine that ran it can go on.
    aGeneration->copy_->server_ = aGeneration->server_;
    aGeneration->copy_->address_ = aGeneration->address_;
  }
  if (!answer.handle_.empty()) {
    aGeneration->copy_->handle_ = answer.handle_;
    aGeneration->stage_ = MoveStage::Stopped;
    if (aGeneration->expectEnd_) {
      aGeneration->expectEnd_();
    }
  }
}

asio::awaitable<MoveAnswer>
RunMover::CallMove(SocketAddress aEngine, MoveCall aCall)
{
  HttpRequest request = services_.wire_.BuildMove(aCall);
  const AsyncResult<HttpResponse> response =
    co_await client_.Send(aEngine, std::move(request));
  if (!response) {
    co_return MoveAnswer{};
  }
  co_return services_.wire_.ReadMove(*response);
}

asio::awaitable<void>
RunMover::DropCopy(GenerationCopy aCopy)
{
  if (aCopy.handle_.empty()) {
    co_return;
  }
  HttpRequest request = services_.wire_.BuildDrop(aCopy.handle_);
  const auto response =
    co_await client_.Send(aCopy.origin_, std::move(request));
  services_.metrics_.CountMove(response ? "copy dropped" : "copy left");
}

void
RunMover::LogEnd(const ActiveGeneration& aGeneration,
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

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

HttpClientLimits
MakeLimits()
{
  HttpClientLimits limits;
  limits.connectTimeout_ = kConnectTimeout;
  limits.answerTimeout_ = kMoveTimeout;
  return limits;
}

} // namespace

RunMover::RunMover(asio::io_context& aContext,
                   ForwardServices& aServices,
                   std::string aDaemon)
  : context_(aContext)
  , services_(aServices)
  , schedule_(std::move(aDaemon))
  , client_(aContext.get_executor(), MakeLimits())
{
}

void
RunMover::Add(const Generation& aGeneration)
{
  generations_.insert(aGeneration);
}

void
RunMover::Remove(const Generation& aGeneration)
{
  aGeneration->isFinished_ = true;
  generations_.erase(aGeneration);
  // While a copy is being made, the coroutine that makes it drops it.
  if (aGeneration->copy_ && aGeneration->stage_ == MoveStage::None) {
    asio::co_spawn(
      context_, DropCopy(*aGeneration->copy_), asio::detached);
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
  std::vector<PlannedMove> moves =
    schedule_.Plan(services_.state_.GetBoard(), aServer);
  const std::size_t runs =
    services_.state_.GetBoard().FindRunsOn(aServer).size();
  if (runs == 0) {
    return;
  }
  services_.log_.Write(
    Decision::MovePlanned,
    { { "backend_server", aServer },
      { "runs", runs },
      { "moves", moves.size() },
      { "delay_s", moves.empty() ? 0.0 : ToSeconds(moves.front().delay_) } });
  if (!moves.empty()) {
    asio::co_spawn(
      context_, MoveAll(aServer, std::move(moves)), asio::detached);
  }
}

asio::awaitable<void>
RunMover::MoveAll(BackendServerId aServer, std::vector<PlannedMove> aMoves)
{
  asio::steady_timer timer(context_, aMoves.front().delay_);
  co_await timer.async_wait(asio::use_awaitable);
  for (const PlannedMove& move : aMoves) {
    Generation generation = Find(move.run_);
    if (generation && generation->server_ == aServer) {
      co_await MoveOne(generation);
    }
  }
}

asio::awaitable<void>
RunMover::MoveOne(Generation aGeneration)
{
  const Time now = ReadMonotonicTime();
  PlacementRequest request = aGeneration->request_;
  request.tokens_ = std::max(aGeneration->tokens_, 1U);
  request.excluded_.push_back(aGeneration->server_);
  const auto choice = services_.dispatch_.GetPlacement().Choose(
    services_.state_.GetBoard(), request, now);
  if (!choice) {
    LogEnd(*aGeneration, "place", "no room");
    co_return;
  }
  aGeneration->copyHold_ =
    RunHold(services_.state_,
            services_.state_.GetBoard().Start({ choice->server_,
                                                request.route_,
                                                request.customer_,
                                                request.kind_,
                                                request.demand_,
                                                request.tokens_,
                                                now }));
  aGeneration->copy_.reset();
  aGeneration->stage_ = MoveStage::Copying;
  GenerationCopy copy;
  copy.server_ = choice->server_;
  copy.address_ = choice->address_;
  copy.origin_ = aGeneration->address_;
  aGeneration->copy_ = copy;
  const bool isCopied = co_await CopyRunning(aGeneration);
  if (isCopied && !aGeneration->isFinished_) {
    co_await StopAndCopyRest(aGeneration);
  }
  if (aGeneration->isFinished_ && aGeneration->copy_) {
    co_await DropCopy(*aGeneration->copy_);
  }
  if (aGeneration->stage_ != MoveStage::Stopped) {
    aGeneration->stage_ = MoveStage::None;
  }
  if (!aGeneration->copy_) {
    aGeneration->copyHold_ = RunHold();
  }
  aGeneration->changed_.Notify();
}

asio::awaitable<bool>
RunMover::CopyRunning(Generation aGeneration)
{
  MoveCall call;
  call.attemptId_ = aGeneration->attemptId_;
  call.target_ = aGeneration->copy_->address_;
  const MoveAnswer answer = co_await CallMove(aGeneration->address_, call);
  LogEnd(*aGeneration, "copy", kMoveResultNames.FindName(answer.result_));
  if (answer.result_ != MoveResult::Copied) {
    aGeneration->copy_.reset();
    co_return false;
  }
  aGeneration->copy_->handle_ = answer.handle_;
  co_return true;
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
  if (answer.result_ == MoveResult::NoSuchRun) {
    // It has ended by itself.
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
      { "to",
        aGeneration.copy_ ? aGeneration.copy_->server_.GetValue() : "" },
      { "tokens", aGeneration.tokens_ } });
}

} // namespace azurecross

#include "AsyncDispatcher.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace azurecross {

namespace asio = boost::asio;

namespace {

std::string
FormatRefusal(const RefuseDecision& aRefusal)
{
  if (aRefusal.quarantined_) {
    const QuarantinedFingerprint& quarantined = *aRefusal.quarantined_;
    if (quarantined.fingerprint_.kind_ == FingerprintKind::Request) {
      return "the request is in quarantine: " +
             std::to_string(quarantined.deaths_) +
             " backend servers died before they answered it; fingerprint " +
             FormatFingerprint(quarantined.fingerprint_);
    }
    return "part " + FormatFingerprint(quarantined.fingerprint_) +
           " of the prompt is in quarantine: " +
           std::to_string(quarantined.deaths_) +
           " engines died before they answered requests with it";
  }
  return "no backend server is expected to have capacity in time; waited " +
         std::to_string(ToSeconds(aRefusal.waited_)) + " s, " +
         std::to_string(aRefusal.queued_) + " queued" +
         (aRefusal.limitedServers_ > 0
            ? ", " + std::to_string(aRefusal.limitedServers_) +
                " servers limit their rate"
            : "");
}

} // namespace

AsyncDispatcher::AsyncDispatcher(ServingState& aState,
                                 AvailabilityZone aZone,
                                 ServingMetrics& aMetrics,
                                 std::uint64_t aSeed)
  : state_(aState)
  , metrics_(aMetrics)
  , dispatcher_(aState.GetLoadTracker(),
                aState.GetLimiter(),
                aState.GetQuarantine(),
                ServerPlacement(std::move(aZone), aSeed + 1),
                aSeed)
{
}

asio::awaitable<AsyncResult<StartedRun>>
AsyncDispatcher::Acquire(const WorkerExecutor& aExecutor,
                         DispatchTicket aTicket)
{
  const TicketId ticketId = aTicket.id_;
  auto waiter = std::make_shared<Waiter>(aExecutor);
  waiters_.emplace(ticketId, waiter);
  DispatchDecisions decisions;
  dispatcher_.Enqueue(std::move(aTicket), ReadMonotonicTime(), decisions);
  ApplyDecisions(std::move(decisions));
  metrics_.SetQueuedRequests(dispatcher_.CountQueued());
  if (!waiter->started_ && !waiter->error_) {
    boost::system::error_code ignored;
    co_await waiter->timer_.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  waiters_.erase(ticketId);
  if (waiter->error_) {
    co_return std::move(*waiter->error_);
  }
  metrics_.ObserveQueueWait(waiter->started_->waited_);
  co_return std::move(*waiter->started_);
}

void
AsyncDispatcher::CompleteWaiter(TicketId aTicket,
                                const std::function<void(Waiter&)>& aComplete)
{
  const auto entry = waiters_.find(aTicket);
  if (entry != waiters_.end()) {
    aComplete(*entry->second);
    entry->second->timer_.cancel();
  }
}

void
AsyncDispatcher::Cancel(TicketId aTicket)
{
  dispatcher_.Cancel(aTicket);
  CompleteWaiter(aTicket, [](Waiter& aWaiter) {
    if (!aWaiter.started_ && !aWaiter.error_) {
      aWaiter.error_ = Error{ ErrorCode::Cancelled,
                              Verdict::NotRun,
                              "cancelled while waiting for a backend server",
                              {} };
    }
  });
}

void
AsyncDispatcher::ApplyDecisions(DispatchDecisions aDecisions)
{
  for (StartDecision& start : aDecisions.starts_) {
    RunReservation reservation(state_, start.run_);
    CompleteWaiter(start.ticketId_, [&](Waiter& aWaiter) {
      aWaiter.started_ = StartedRun{ std::move(reservation),
                                     std::move(start.choice_),
                                     start.waited_,
                                     start.permitWait_ };
    });
    if (start.permitWait_ > Duration::zero()) {
      metrics_.ObservePermitWait(start.permitWait_);
    }
  }
  for (const RefuseDecision& refusal : aDecisions.refusals_) {
    CompleteWaiter(refusal.ticketId_, [&](Waiter& aWaiter) {
      aWaiter.error_ =
        Error{ refusal.reason_,
               Verdict::NotRun,
               FormatRefusal(refusal),
               std::chrono::duration_cast<std::chrono::milliseconds>(
                 refusal.retryAfter_) };
    });
  }
  state_.SendPermitMessages();
}

void
AsyncDispatcher::Dispatch()
{
  DispatchDecisions decisions;
  dispatcher_.Dispatch(ReadMonotonicTime(), decisions);
  ApplyDecisions(std::move(decisions));
  metrics_.SetQueuedRequests(dispatcher_.CountQueued());
}

void
AsyncDispatcher::Tick()
{
  DispatchDecisions decisions;
  dispatcher_.Tick(ReadMonotonicTime(), decisions);
  ApplyDecisions(std::move(decisions));
  metrics_.SetQueuedRequests(dispatcher_.CountQueued());
}

} // namespace azurecross

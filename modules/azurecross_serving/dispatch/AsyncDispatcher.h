#pragma once

#include "../state/ServingState.h"

#include <azurecross_dispatch/azurecross_dispatch.h>
#include <azurecross_gateway/azurecross_gateway.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>

namespace azurecross {

/**
 * Owns a run that is counted in the load of a backend server, and ends the run
 * on destruction. The run ends as withdrawn unless `SetEnd` was called.
 */
class RunReservation
{
public:
  RunReservation() = default;
  RunReservation(ServingState& aState, RunId aRun)
    : state_(&aState)
    , run_(aRun)
  {
    aState.NotifyRunPlaced(aRun);
  }
  RunReservation(RunReservation&& aOther) noexcept
    : state_(std::exchange(aOther.state_, nullptr))
    , run_(aOther.run_)
    , end_(aOther.end_)
  {
  }
  RunReservation& operator=(RunReservation&& aOther) noexcept
  {
    if (this != &aOther) {
      Finish();
      state_ = std::exchange(aOther.state_, nullptr);
      run_ = aOther.run_;
      end_ = aOther.end_;
    }
    return *this;
  }
  ~RunReservation() { Finish(); }

  RunId GetRun() const { return run_; }
  void SetEnd(RunOutcome aEnd) { end_ = aEnd; }

private:
  void Finish()
  {
    if (state_ != nullptr) {
      state_->FinishRun(run_, end_, ReadMonotonicTime());
      state_->NotifyLoadChanged();
      state_ = nullptr;
    }
  }

  ServingState* state_ = nullptr;
  RunId run_ = 0;
  RunOutcome end_ = RunOutcome::Withdrawn;
};

/** The placement of one request on a backend server. */
struct StartedRun
{
  RunReservation reservation_;
  PlacementChoice choice_;
  Duration waited_{};
  Duration permitWait_{};
};

/** Lets the coroutines of requests wait for the decisions of the dispatcher. */
class AsyncDispatcher
{
public:
  AsyncDispatcher(ServingState& aState,
                  AvailabilityZone aZone,
                  ServingMetrics& aMetrics,
                  std::uint64_t aSeed);

  AsyncDispatcher(const AsyncDispatcher&) = delete;
  AsyncDispatcher& operator=(const AsyncDispatcher&) = delete;

  /** @returns the next unused ticket id. */
  TicketId AllocateTicketId() { return nextTicket_++; }

  /** Enqueues a request and waits until it is placed on a backend server.
   * @returns the placement, or an error with the verdict `NotRun`. */
  boost::asio::awaitable<AsyncResult<StartedRun>> Acquire(
    const WorkerExecutor& aExecutor,
    DispatchTicket aTicket);

  /** Ends the wait of a request with the error `Cancelled`. */
  void Cancel(TicketId aTicket);

  /** Starts the queued requests for which a backend server has capacity. */
  void Dispatch();
  void Tick();

  ServerPlacement& GetPlacement() { return dispatcher_.GetPlacement(); }
  /** Records the time for which a request occupied a slot of the pool. */
  void ObserveServiceTime(const PoolName& aPool, Duration aServiceTime)
  {
    dispatcher_.RecordRunDuration(aPool, aServiceTime);
  }

private:
  struct Waiter
  {
    explicit Waiter(const WorkerExecutor& aExecutor)
      : timer_(aExecutor)
    {
      timer_.expires_at(std::chrono::steady_clock::time_point::max());
    }

    boost::asio::steady_timer timer_;
    std::optional<StartedRun> started_;
    std::optional<Error> error_;
  };

  void ApplyDecisions(DispatchDecisions aDecisions);
  void CompleteWaiter(TicketId aTicket,
                      const std::function<void(Waiter&)>& aComplete);

  ServingState& state_;
  ServingMetrics& metrics_;
  Dispatcher dispatcher_;
  std::map<TicketId, std::shared_ptr<Waiter>> waiters_;
  TicketId nextTicket_ = 1;
};

} // namespace azurecross

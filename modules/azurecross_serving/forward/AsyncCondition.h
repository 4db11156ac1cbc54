#pragma once

#include <azurecross_core/azurecross_core.h>
#include <azurecross_gateway/azurecross_gateway.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace azurecross {

/**
 * Condition variable for coroutines that run on one thread. Its destruction
 * notifies the coroutines that are still waiting.
 */
class AsyncCondition
{
public:
  explicit AsyncCondition(const WorkerExecutor& aExecutor)
    : state_(std::make_shared<State>(aExecutor))
  {
  }
  ~AsyncCondition() { Notify(); }

  AsyncCondition(const AsyncCondition&) = delete;
  AsyncCondition& operator=(const AsyncCondition&) = delete;

  /** Resumes all coroutines that are waiting now. */
  void Notify()
  {
    ++state_->notifications_;
    state_->timer_.cancel();
  }

  /** @returns whether a notification arrived before the timeout. */
  boost::asio::awaitable<bool> Wait(Duration aTimeout)
  {
    // The handler of the timeout can run after the wait has ended, when the
    // condition may be gone already.
    const std::shared_ptr<State> state = state_;
    const std::uint64_t before = state->notifications_;
    boost::asio::steady_timer timeout(state->timer_.get_executor(), aTimeout);
    timeout.async_wait([state](const boost::system::error_code& aCode) {
      if (!aCode) {
        state->timer_.cancel();
      }
    });
    // The timeouts of other waiting coroutines cancel the timer as well.
    while (state->notifications_ == before &&
           std::chrono::steady_clock::now() < timeout.expiry()) {
      boost::system::error_code code;
      co_await state->timer_.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, code));
    }
    co_return state->notifications_ != before;
  }

private:
  struct State
  {
    explicit State(const WorkerExecutor& aExecutor)
      : timer_(aExecutor, std::chrono::steady_clock::time_point::max())
    {
    }

    boost::asio::steady_timer timer_;
    std::uint64_t notifications_ = 0;
  };

  std::shared_ptr<State> state_;
};

} // namespace azurecross

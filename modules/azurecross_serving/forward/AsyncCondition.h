#pragma once

#include <azurecross_core/azurecross_core.h>
#include <azurecross_gateway/azurecross_gateway.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace azurecross {

/** Condition variable for coroutines that run on one thread. */
class AsyncCondition
{
public:
  explicit AsyncCondition(const WorkerExecutor& aExecutor)
    : timer_(aExecutor)
  {
    timer_.expires_at(std::chrono::steady_clock::time_point::max());
  }

  /** Resumes all coroutines that are waiting now. */
  void Notify()
  {
    ++notifications_;
    timer_.cancel();
  }

  /** @returns whether a notification arrived before the timeout. */
  boost::asio::awaitable<bool> Wait(Duration aTimeout)
  {
    const std::uint64_t before = notifications_;
    boost::asio::steady_timer timeout(timer_.get_executor());
    timeout.expires_after(aTimeout);
    timeout.async_wait([this, before](const boost::system::error_code& aCode) {
      if (!aCode && notifications_ == before) {
        timer_.cancel();
      }
    });
    boost::system::error_code code;
    co_await timer_.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, code));
    co_return notifications_ != before;
  }

private:
  boost::asio::steady_timer timer_;
  std::uint64_t notifications_ = 0;
};

} // namespace azurecross

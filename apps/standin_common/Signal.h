#pragma once

#include <azurecross_core/azurecross_core.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace azurecross {

/**
 * Wakes coroutines that wait for a change. All waiters run on one thread; a
 * waiter checks its condition in a loop, because a wake-up may be spurious.
 */
class Signal
{
public:
  explicit Signal(const boost::asio::any_io_executor& aExecutor)
    : timer_(aExecutor)
  {
  }

  /** Waits until `Notify` or the timeout. */
  boost::asio::awaitable<void> Wait(Duration aTimeout)
  {
    boost::system::error_code ignored;
    timer_.expires_after(aTimeout);
    co_await timer_.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }

  void Notify() { timer_.cancel(); }

private:
  boost::asio::steady_timer timer_;
};

/** Suspends the coroutine for a while. */
inline boost::asio::awaitable<void>
Sleep(Duration aDuration)
{
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  timer.expires_after(aDuration);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace azurecross

#pragma once

#include <azurecross_core/azurecross_core.h>
#include <azurecross_gateway/azurecross_gateway.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace azurecross {

/** Lets coroutines of one thread wait until another one notifies them. */
class AsyncCondition
{
public:
  explicit AsyncCondition(const WorkerExecutor& aExecutor)
    : timer_(aExecutor)
  {
    timer_.expires_at(std::chrono::steady_clock::time_point::max());
  }

  /** Resumes all that wait now. */
  void Notify()
  {
    ++count_;
    timer_.cancel();
  }

  /** @returns whether a notification came within the time. */
  boost::asio::awaitable<bool> Wait(Duration aLongest)
  {
    const std::uint64_t before = count_;
    boost::asio::steady_timer limit(timer_.get_executor());
    limit.expires_after(aLongest);
    limit.async_wait([this, before](const boost::system::error_code& aCode) {
      if (!aCode && count_ == before) {
        timer_.cancel();
      }
    });
    boost::system::error_code code;
    co_await timer_.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, code));
    co_return count_ != before;
  }

private:
  boost::asio::steady_timer timer_;
  std::uint64_t count_ = 0;
};

} // namespace azurecross

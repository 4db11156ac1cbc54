#pragma once

#include <boost/asio/associated_cancellation_slot.hpp>
#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace azurecross {

/**
 * Suspends a coroutine until a callback is called, from any thread; it resumes
 * on its own executor.
 *
 * @param aStart is given the callback, which must be called exactly once.
 * @param aCancel is called on the coroutine's executor if the coroutine is
 * cancelled; the callback must still be called.
 */
template<typename Value>
boost::asio::awaitable<Value>
AwaitCallback(std::function<void(std::function<void(Value)>)> aStart,
              std::function<void()> aCancel)
{
  namespace asio = boost::asio;
  const auto initiate =
    [](auto aHandler,
       std::function<void(std::function<void(Value)>)> aBegin,
       std::function<void()> aStop) {
      auto handler = std::make_shared<decltype(aHandler)>(std::move(aHandler));
      auto slot = asio::get_associated_cancellation_slot(*handler);
      if (slot.is_connected()) {
        slot.assign([aStop](asio::cancellation_type) { aStop(); });
      }
      aBegin([handler](Value aValue) {
        const auto executor = asio::get_associated_executor(*handler);
        asio::post(executor, [handler, value = std::move(aValue)]() mutable {
          asio::get_associated_cancellation_slot(*handler).clear();
          std::move (*handler)(std::move(value));
        });
      });
    };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(Value)>(
    initiate, asio::use_awaitable, std::move(aStart), std::move(aCancel));
}

} // namespace azurecross

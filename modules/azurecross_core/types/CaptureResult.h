#pragma once

#include "Error.h"

#include <boost/leaf/handle_errors.hpp>

#include <type_traits>
#include <utility>

namespace azurecross {

/** The value type of a `Result`, which LEAF keeps private. */
template<typename Outcome>
struct ResultValue;

template<typename Value>
struct ResultValue<Result<Value>>
{
  using Type = Value;
};

/**
 * Calls a function that returns a `Result<Value>` and turns its answer into an
 * `AsyncResult<Value>`, which may cross a coroutine suspension or a thread.
 *
 * The call has to happen inside this function, because LEAF drops an error
 * object for which no handler is on the stack.
 * @code
 * const auto route = CaptureResult([&] { return ParseRoute(name, text); });
 * @endcode
 */
template<typename Function>
auto
CaptureResult(Function&& aFunction)
{
  using Value = typename ResultValue<decltype(aFunction())>::Type;
  return boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<AsyncResult<Value>> {
      auto result = aFunction();
      if (!result) {
        return result.error();
      }
      if constexpr (std::is_void_v<Value>) {
        return AsyncResult<Value>();
      } else {
        return AsyncResult<Value>(std::move(*result));
      }
    },
    [](const Error& aError) { return AsyncResult<Value>(aError); },
    [] {
      Error error;
      error.message_ = "unknown failure";
      return AsyncResult<Value>(std::move(error));
    });
}

} // namespace azurecross

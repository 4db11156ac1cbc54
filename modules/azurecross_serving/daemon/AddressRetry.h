#pragma once

#include <azurecross_core/azurecross_core.h>
#include <azurecross_signals/azurecross_signals.h>

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>

#include <concepts>
#include <optional>
#include <thread>
#include <type_traits>

namespace azurecross {

/** Interval between attempts to bind an address. */
inline constexpr Duration kBindRetryInterval = std::chrono::milliseconds(50);

/**
 * Calls a function that binds addresses until it succeeds. An address can be
 * held by a predecessor that is still shutting down, or not be assigned to the
 * VM yet. Blocks the thread.
 *
 * @returns the result of the function, or nothing if a signal to stop arrived
 * first.
 * @throws boost::system::system_error after the timeout, and at once for other
 * failures.
 */
template<std::invocable Function>
std::optional<std::invoke_result_t<Function>>
RetryWhileAddressUnavailable(Function aFunction, Duration aTimeout)
{
  const Time end = ReadMonotonicTime() + aTimeout;
  bool isLogged = false;
  while (!IsStopSignalPending()) {
    try {
      return aFunction();
    } catch (const boost::system::system_error& error) {
      const bool isUnavailable =
        error.code() == boost::asio::error::address_in_use ||
        error.code() == boost::system::errc::address_not_available;
      if (!isUnavailable || ReadMonotonicTime() >= end) {
        throw;
      }
      if (!isLogged) {
        isLogged = true;
        WriteLog(
          LogLevel::Warning,
          "waiting for an address",
          { { "reason", error.what() }, { "timeout_s", ToSeconds(aTimeout) } });
      }
    }
    std::this_thread::sleep_for(kBindRetryInterval);
  }
  return std::nullopt;
}

} // namespace azurecross

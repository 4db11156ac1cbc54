#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace azurecross {

using Duration = std::chrono::nanoseconds;

/**
 * The clock of the decision core. It has no `now()`: a shell passes the
 * current time with each event, so that a bench can drive the core on a
 * virtual clock.
 */
struct CoreClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<CoreClock, duration>;
  static constexpr bool is_steady = true; // NOLINT: name fixed by the standard
};

/** A point in time of the decision core. */
using Time = CoreClock::time_point;

/** @returns the monotonic time of this machine, for shells. */
inline Time
ReadMonotonicTime()
{
  return Time(std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

/**
 * @returns the time since boot, for shells. Unlike the monotonic time it goes
 * on while the VM is suspended, so it bounds the age of what was learned
 * before.
 */
inline Time
ReadBootTime()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Time(std::chrono::seconds(time.tv_sec) +
              std::chrono::nanoseconds(time.tv_nsec));
}

/** @returns milliseconds since the Unix epoch, for records people read. */
inline std::int64_t
ReadUnixMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

constexpr double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

constexpr Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace azurecross

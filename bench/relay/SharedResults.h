#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace azurecross {

/** Latencies over this are counted in the last bucket. */
inline constexpr std::size_t kLatencyBuckets = 200000;

/**
 * What the processes of one phase tell each other, in memory that they share.
 * All atomics are lock-free, so they work between processes.
 */
struct SharedResults
{
  /** The entry's port, once it listens. */
  std::atomic<std::uint32_t> targetPort_;
  /** The engine sends tokens from this time on, once all streams are open. */
  std::atomic<std::uint64_t> startNanoseconds_;
  /** Whether latencies are recorded. */
  std::atomic<bool> isMeasuring_;
  std::atomic<std::uint64_t> tokens_;
  std::atomic<std::uint64_t> lost_;
  std::atomic<std::uint64_t> reordered_;
  std::atomic<std::uint64_t> finished_;
  std::atomic<std::uint64_t> failed_;
  /** Tokens that the engine could not send at once. */
  std::atomic<std::uint64_t> engineStalls_;
  /** Count of tokens by latency in microseconds. */
  std::atomic<std::uint32_t> latencies_[kLatencyBuckets];
};

static_assert(std::atomic<std::uint64_t>::is_always_lock_free);

} // namespace azurecross

#pragma once

#include <atomic>
#include <cstdint>

namespace azurecross {

/** Counters that the links and connections of a transport share. */
struct TransportCounts
{
  std::atomic<std::uint64_t> sentMessages_{ 0 };
  std::atomic<std::uint64_t> sentBytes_{ 0 };
  std::atomic<std::uint64_t> receivedMessages_{ 0 };
  std::atomic<std::uint64_t> receivedBytes_{ 0 };
  std::atomic<std::uint64_t> droppedMessages_{ 0 };
  std::atomic<std::uint64_t> malformedMessages_{ 0 };
  std::atomic<std::uint64_t> rejectedMessages_{ 0 };
  std::atomic<std::uint64_t> blockedMessages_{ 0 };
};

} // namespace azurecross

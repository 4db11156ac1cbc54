#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace azurecross {

/** A backend server of an arbitration group, as configured in the pool's table
 * row. */
struct BackendServerDescription
{
  BackendServerId id_;
  /** Models loaded on the backend server; ignored for plain services. */
  std::vector<ModelName> models_;
  /** Engine memory in tokens; 0 for plain services, which have none. */
  std::uint32_t memoryTokens_ = 0;
  /** Maximum number of concurrent requests. */
  std::uint32_t maxConcurrent_ = 1;
  /** A leaving backend server keeps its requests and gets no new ones. */
  bool isLeaving_ = false;
};

/** A load report of a backend server; reports arrive with a delay. */
struct BackendServerLoad
{
  BackendServerId id_;
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint32_t usedMemoryTokens_ = 0;
  /** 0 if the backend server does not report it. */
  std::uint32_t totalMemoryTokens_ = 0;
  /** Preemptions since the backend server started. */
  std::uint64_t preemptions_ = 0;
  /** Time of the measurement on the backend server. */
  Time measuredAt_;
};

/** A cache event of an engine. Events may arrive late or get lost. */
struct CacheEvent
{
  BackendServerId id_;
  /** Sequence number, which rises by 1 for each event of an engine; a gap
   * reveals a lost event. */
  std::uint64_t sequence_ = 0;
  std::vector<std::uint64_t> stored_;
  std::vector<std::uint64_t> removed_;
};

} // namespace azurecross

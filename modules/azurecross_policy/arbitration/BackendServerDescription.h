#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace azurecross {

/** A backend server of an arbitration group, from the pool's table row. */
struct BackendServerDescription
{
  BackendServerId id_;
  /** Models that it holds; ignored for plain services. */
  std::vector<ModelName> models_;
  /** Engine memory in tokens; 0 for plain services, which have none. */
  std::uint32_t memoryTokens_ = 0;
  /** Hard limit on requests that run at once. */
  std::uint32_t maxConcurrent_ = 1;
  /** A leaving backend server keeps its requests and gets no new ones. */
  bool isLeaving_ = false;
};

/** A load report of a backend server; it arrives with a lag. */
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
  /** When the backend server measured this. */
  Time measuredAt_;
};

/** A cache event of an engine; events are late and some are lost. */
struct CacheEvent
{
  BackendServerId id_;
  /** Numbers of one engine's events rise by 1; a gap shows a lost event. */
  std::uint64_t sequence_ = 0;
  std::vector<std::uint64_t> stored_;
  std::vector<std::uint64_t> removed_;
};

} // namespace azurecross

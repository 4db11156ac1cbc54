#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace azurecross {

/** What a pool's backend servers are. */
enum class PoolKind
{
  Engine,
  Service,
};

inline constexpr NameTable<PoolKind, 2> kPoolKindNames{
  { { { PoolKind::Engine, "engine" }, { PoolKind::Service, "service" } } }
};

/** A backend server that a pool lists itself. */
struct StaticBackendServer
{
  BackendServerId id_;
  SocketAddress address_;
  AvailabilityZone availabilityZone_;

  friend bool operator==(const StaticBackendServer&,
                         const StaticBackendServer&) = default;
};

inline constexpr std::int64_t kDefaultMemoryTokens = 100'000;
inline constexpr std::int64_t kDefaultMaxConcurrent = 64;

/** A row of the pools table: a group of backend servers and their models. */
struct Pool
{
  PoolName name_;
  PoolKind kind_ = PoolKind::Engine;
  /** The backend VMs of this group of the VM list belong to the pool. */
  std::string group_;
  /** Further backend servers. */
  std::vector<StaticBackendServer> backendServers_;
  std::vector<ModelName> models_;
  std::vector<std::string> adapters_;
  /** The version to load, by model or adapter name. */
  std::map<std::string, std::string> versions_;
  /** Whether the engines refuse an order with an old fencing number. */
  bool checksFencing_ = false;
  /** Tokens of prompt and output that fit into one engine's memory. */
  std::int64_t memoryTokens_ = kDefaultMemoryTokens;
  /** Requests that one backend server handles at a time. */
  std::int64_t maxConcurrent_ = kDefaultMaxConcurrent;

  friend bool operator==(const Pool&, const Pool&) = default;
};

} // namespace azurecross

#pragma once

#include "RouteMatch.h"

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace azurecross {

/** A request that asks for a slot on a backend server. */
struct DispatchRequest
{
  RequestId requestId_;
  CustomerId customer_;
  RouteName route_;
  PoolName pool_;
  /** Empty for calls of plain services. */
  ModelName model_;
  RequestKind kind_ = RequestKind::Service;
  Rank rank_ = Rank::Urgent;
  /** Estimate from the length of the prompt; 0 for services. */
  std::uint64_t promptTokens_ = 0;
  /** The caller's `max_tokens`, if set. */
  std::optional<std::uint64_t> outputLimit_;
  /** Hash of each leading part of the prompt, the shortest part first. */
  std::vector<std::uint64_t> prefixHashes_;
  Time arrival_;
  /** Refuse rather than start the request after this time, if set. */
  std::optional<Time> deadline_;
  /** Backend servers that failed this request. */
  std::vector<BackendServerId> excluded_;
};

} // namespace azurecross

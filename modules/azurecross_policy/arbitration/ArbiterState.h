#pragma once

#include "../admission/BackendServerModel.h"
#include "../admission/LengthPredictor.h"
#include "GrantRequest.h"

#include <array>
#include <cstdint>
#include <limits>

namespace azurecross {

struct ModelQueues;

/** A backend server as the arbiter sees it. */
struct BackendServerState
{
  BackendServerModel model_;
  /** False once it is no longer in the group's list. */
  bool isListed_ = true;
  bool isEjected_ = false;
  /** Requests that have had their first token. */
  std::uint32_t decoding_ = 0;

  bool IsUsable() const
  {
    return isListed_ && !isEjected_ && !model_.GetDescription().isLeaving_;
  }
};

/** The slots of a backend server, kept apart from the rest of its state so
 * that a search through hundreds of servers stays in the cache. */
struct ServerSlots
{
  std::uint32_t running_ = 0;
  /** Limits by rank; 0 if it can't be used. */
  std::array<std::uint32_t, kRankCount> limits_{};

  bool HasFreeSlot(Rank aLimitRank) const
  {
    return running_ < limits_[static_cast<std::size_t>(aLimitRank)];
  }
};

/** A request that waits for a slot. */
struct QueuedRequest
{
  GrantRequest request_;
  ModelQueues* modelQueues_ = nullptr;
  LengthPredictor::ClassIndex lengthClass_ = 0;
  Time queuedAt_;
  double predictedWait_ = 0.0;
};

/** What a backend server must have left to be considered for a request. */
struct PlacementBounds
{
  /** Whose limits of slots and memory apply. */
  Rank limitRank_ = Rank::Urgent;
  /** Prompt tokens that may wait for prefill. */
  std::int64_t pendingPromptTokens_ = std::numeric_limits<std::int64_t>::max();
};

/** Where a request was placed, and what decided it. */
struct Placement
{
  std::uint32_t server_ = 0;
  double score_ = 0.0;
  /** State of the backend server just before the grant. */
  std::uint32_t running_ = 0;
  std::uint32_t limit_ = 0;
  double memoryShare_ = 0.0;
  /** Blocks of the prompt that the backend server is thought to hold. */
  std::uint32_t prefixBlocks_ = 0;
};

/** A request that holds a slot. */
struct GrantedRequest
{
  GrantRequest request_;
  ModelQueues* modelQueues_ = nullptr;
  LengthPredictor::ClassIndex lengthClass_ = 0;
  Placement placement_;
  MemoryForecast forecast_;
  Time grantedAt_;
  Duration waited_{};
  /** Lesser work granted because it had less than its floor. */
  bool isFloorGrant_ = false;
  std::uint32_t tokens_ = 0;
  /** Output tokens charged to the customer, first by prediction. */
  double chargedTokens_ = 0.0;
  Time lastProgress_;
};

} // namespace azurecross

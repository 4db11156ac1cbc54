#pragma once

#include "../admission/BackendServerModel.h"
#include "../admission/LengthPredictor.h"
#include "GrantRequest.h"

#include <array>
#include <cstdint>
#include <limits>

namespace azurecross {

struct ModelQueues;

/** The arbiter's state of one backend server. */
struct BackendServerState
{
  BackendServerModel model_;
  /** False once the backend server is removed from the group's list. */
  bool isListed_ = true;
  bool isEjected_ = false;
  /** Running requests that have produced their first token. */
  std::uint32_t decoding_ = 0;

  bool IsUsable() const
  {
    return isListed_ && !isEjected_ && !model_.GetDescription().isLeaving_;
  }
};

/** The slots of a backend server, stored apart from its other state so that a
 * scan of hundreds of servers stays in the CPU cache. */
struct ServerSlots
{
  std::uint32_t running_ = 0;
  /** Limits by rank; 0 if the backend server is not usable. */
  std::array<std::uint32_t, kRankCount> limits_{};

  bool HasFreeSlot(Rank aLimitRank) const
  {
    return running_ < limits_[static_cast<std::size_t>(aLimitRank)];
  }
};

/** A request that is queued for a slot. */
struct QueuedRequest
{
  GrantRequest request_;
  ModelQueues* modelQueues_ = nullptr;
  LengthPredictor::ClassIndex lengthClass_ = 0;
  Time queuedAt_;
  double predictedWait_ = 0.0;
};

/** Limits that a backend server must meet to be considered for a request. */
struct PlacementBounds
{
  /** The rank whose limits of slots and memory apply. */
  Rank limitRank_ = Rank::Urgent;
  /** Maximum number of prompt tokens that wait for prefill. */
  std::int64_t pendingPromptTokens_ = std::numeric_limits<std::int64_t>::max();
};

/** The backend server chosen for a request, and the values behind the choice.
 */
struct Placement
{
  std::uint32_t server_ = 0;
  double score_ = 0.0;
  /** State of the backend server just before the grant. */
  std::uint32_t running_ = 0;
  std::uint32_t limit_ = 0;
  double memoryShare_ = 0.0;
  /** Blocks of the prompt that the backend server has cached, by the prefix
   * index. */
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
  /** Whether lesser work was granted because it had less than its floor. */
  bool isFloorGrant_ = false;
  std::uint32_t tokens_ = 0;
  /** Output tokens charged to the customer; the predicted length at first. */
  double chargedTokens_ = 0.0;
  Time lastProgress_;
};

} // namespace azurecross

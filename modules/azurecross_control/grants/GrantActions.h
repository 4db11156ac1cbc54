#pragma once

#include <azurecross_cluster/azurecross_cluster.h>
#include <azurecross_core/azurecross_core.h>
#include <azurecross_policy/azurecross_policy.h>

#include <vector>

namespace azurecross {

/** A message to another entry. */
struct PeerAction
{
  EntryId receiver_;
  wire::PeerMessage message_;
};

/** A request of this entry got a slot. */
struct SlotGranted
{
  RequestId request_;
  GrantId grant_;
  BackendServerId backendServer_;
};

/** A request of this entry was refused and did not run. */
struct SlotRefused
{
  RequestId request_;
  ErrorCode reason_ = ErrorCode::QueueFull;
  Duration retryAfter_{};
};

/** What the shell has to do after an event. */
struct GrantActions
{
  std::vector<PeerAction> messages_;
  std::vector<SlotGranted> granted_;
  std::vector<SlotRefused> refused_;
};

} // namespace azurecross

#pragma once

#include <azurecross_core/azurecross_core.h>

#include <variant>
#include <vector>

namespace azurecross {

/** The entry may send the request to this backend server. */
struct GrantAction
{
  RequestId request_;
  EntryId entry_;
  GrantId grant_;
  BackendServerId backendServer_;
};

/** The request is refused before it ran; the verdict is always `NotRun`. */
struct RefuseAction
{
  RequestId request_;
  EntryId entry_;
  ErrorCode reason_ = ErrorCode::QueueFull;
  Duration retryAfter_{};
};

/** The backend server gets no new requests until it is readmitted. */
struct EjectAction
{
  BackendServerId backendServer_;
};

/** The backend server gets requests again, with a low limit at first. */
struct ReadmitAction
{
  BackendServerId backendServer_;
};

using ArbiterAction =
  std::variant<GrantAction, RefuseAction, EjectAction, ReadmitAction>;
using ArbiterActions = std::vector<ArbiterAction>;

} // namespace azurecross

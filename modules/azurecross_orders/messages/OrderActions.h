#pragma once

#include "EngineOrder.h"

#include <variant>
#include <vector>

namespace azurecross {

/** Create the lease key if there is none, with a lease of this duration. */
struct AcquireOrderLease
{
  Duration timeToLive_{};
};

struct RenewOrderLease
{};

struct ReleaseOrderLease
{};

/** Ask an engine for its state. */
struct ReadEngineState
{
  BackendServerId server_;
  /** Comes back with the state, so that a late answer is told apart. */
  std::uint64_t read_ = 0;
};

struct SendEngineOrder
{
  OrderId id_;
  BackendServerId server_;
  EngineOrder order_;
  FencingNumber fencing_;
  /** The shell drops the order, as `Failed`, if it can't send it before. */
  Time sendBefore_;
};

using OrderAction = std::variant<AcquireOrderLease,
                                 RenewOrderLease,
                                 ReleaseOrderLease,
                                 ReadEngineState,
                                 SendEngineOrder>;
using OrderActions = std::vector<OrderAction>;

} // namespace azurecross

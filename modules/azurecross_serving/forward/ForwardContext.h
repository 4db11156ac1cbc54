#pragma once

#include "../wire/WireProtocol.h"

#include <azurecross_dispatch/azurecross_dispatch.h>
#include <azurecross_gateway/azurecross_gateway.h>

#include <functional>
#include <string_view>

namespace azurecross {

/** What is known of one request while it is forwarded. */
struct ForwardContext
{
  WireProtocol::Request request_;
  Time arrival_;
  /** Arrival on the clock that counts suspension. */
  Time bootArrival_;
  RequestMetadata metadata_;
  /** Keeps the route and the pool alive. */
  ServingTablesPtr tables_;
  const ServingRoute* route_ = nullptr;
  const ServingPool* pool_ = nullptr;
  std::optional<CustomerId> customer_;
  int priority_ = 0;
  /** When the caller or the route gives up. */
  Time end_;

  /** Stops the step that is in progress; set by that step. */
  std::function<void()> cancel_;
  bool callerHasLeft_ = false;
  bool isTimedOut_ = false;
  /** The highest verdict of the sends so far. */
  Verdict verdict_ = Verdict::NotRun;
  unsigned status_ = 0;
  /** Backend servers that the request was sent to. */
  unsigned sends_ = 0;
  BackendServerId server_;

  bool IsGeneration() const { return route_->kind_ == CallKind::Generation; }
  bool IsIdempotent() const
  {
    return route_->kind_ == CallKind::IdempotentCall;
  }
  bool IsStopped() const { return callerHasLeft_ || isTimedOut_; }
  std::string_view GetPath() const
  {
    const std::string_view target(request_.target().data(),
                                  request_.target().size());
    return target.substr(0, target.find('?'));
  }
};

} // namespace azurecross

#pragma once

#include "../wire/WireProtocol.h"

#include <azurecross_dispatch/azurecross_dispatch.h>
#include <azurecross_gateway/azurecross_gateway.h>

#include <functional>
#include <string_view>

namespace azurecross {

/** State of one request while it is forwarded. */
struct ForwardContext
{
  WireProtocol::Request request_;
  Time arrival_;
  /** Arrival on the clock that includes system suspend. */
  Time arrivalBootTime_;
  RequestMetadata metadata_;
  /** Owns the objects that `route_` and `pool_` point to. */
  ServingTablesPtr tables_;
  const ServingRoute* route_ = nullptr;
  const ServingPool* pool_ = nullptr;
  std::optional<CustomerId> customer_;
  int priority_ = 0;
  /** The earlier of the deadlines of the caller and the route. */
  Time deadline_;
  /** Identifies the request if it comes again. */
  Fingerprint fingerprint_;

  /** @returns what in the request may be in quarantine. */
  std::vector<Fingerprint> MakeFingerprints() const
  {
    const auto& parts = metadata_.generation_.sharedParts_;
    std::vector<Fingerprint> fingerprints(parts.begin(), parts.end());
    fingerprints.push_back(fingerprint_);
    return fingerprints;
  }

  /** Cancels the current step; set and cleared by that step. */
  std::function<void()> cancel_;
  bool isCallerDisconnected_ = false;
  bool isTimedOut_ = false;
  /** Whether the request waits for a backend server. */
  bool isQueued_ = false;
  /** Whether the daemon's shutdown ended the request. */
  bool isShutDown_ = false;
  /**
   * The strongest verdict of the attempts so far on whether the request ran.
   */
  Verdict verdict_ = Verdict::NotRun;
  unsigned status_ = 0;
  /** Attempts so far, including those that could not connect. */
  unsigned sendCount_ = 0;
  BackendServerId server_;

  /** Valid once the request has a route. */
  ShutdownCandidate MakeShutdownCandidate() const
  {
    return { *route_, metadata_.generation_, deadline_ };
  }
  bool IsGeneration() const { return route_->kind_ == CallKind::Generation; }
  /** @returns whether the request may run more than once. A stream that may be
   * resumed may also be generated again. */
  bool IsIdempotent() const
  {
    return route_->kind_ == CallKind::IdempotentCall ||
           (IsGeneration() && route_->isResumable_);
  }
  bool IsAborted() const
  {
    return isCallerDisconnected_ || isTimedOut_ || isShutDown_;
  }
  std::string_view GetPath() const
  {
    const std::string_view target(request_.target().data(),
                                  request_.target().size());
    return target.substr(0, target.find('?'));
  }
};

} // namespace azurecross

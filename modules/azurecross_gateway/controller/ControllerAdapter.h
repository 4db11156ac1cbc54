#pragma once

#include "ControllerPort.h"

namespace azurecross {

/** Passes the calls of the port on to a controller of any type. */
template<RequestController Controller>
class ControllerAdapter final : public ControllerPort
{
public:
  explicit ControllerAdapter(Controller& aController)
    : controller_(aController)
  {
  }

  AsyncResult<RouteMatch> MatchRoute(const RouteQuery& aQuery) override
  {
    return controller_.MatchRoute(aQuery);
  }

  boost::asio::awaitable<AsyncResult<Assignment>> Acquire(
    DispatchRequest aRequest) override
  {
    return controller_.Acquire(std::move(aRequest));
  }

  void ReportProgress(GrantId aGrant, std::uint64_t aTokens) override
  {
    controller_.ReportProgress(aGrant, aTokens);
  }

  void Release(GrantId aGrant, const ReleaseOutcome& aOutcome) override
  {
    controller_.Release(aGrant, aOutcome);
  }

  boost::asio::awaitable<AsyncResult<OperationDecision>> BeginOperation(
    OperationRequest aRequest) override
  {
    return controller_.BeginOperation(std::move(aRequest));
  }

  void FinishOperation(const OperationAttempt& aAttempt,
                       OperationAnswer aAnswer) override
  {
    controller_.FinishOperation(aAttempt, std::move(aAnswer));
  }

  boost::asio::awaitable<AsyncResult<std::string>> IssueOperationKey() override
  {
    return controller_.IssueOperationKey();
  }

  std::optional<SocketAddress> FindBackendServer(
    const BackendServerId& aBackendServer) override
  {
    return controller_.FindBackendServer(aBackendServer);
  }

  bool IsReady() override { return controller_.IsReady(); }
  bool IsDraining() override { return controller_.IsDraining(); }

private:
  Controller& controller_;
};

} // namespace azurecross

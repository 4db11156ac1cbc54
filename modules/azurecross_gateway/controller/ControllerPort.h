#pragma once

#include "RequestController.h"

namespace azurecross {

/**
 * The controller as the gateway's source files see it. The calls are made per
 * request and per progress report, never per token, so their dispatch through
 * a table costs nothing that matters, and it keeps Beast out of templates.
 *
 * @see ControllerAdapter
 */
class ControllerPort
{
public:
  virtual ~ControllerPort() = default;

  virtual AsyncResult<RouteMatch> MatchRoute(const RouteQuery& aQuery) = 0;
  virtual boost::asio::awaitable<AsyncResult<Assignment>> Acquire(
    DispatchRequest aRequest) = 0;
  virtual void ReportProgress(GrantId aGrant, std::uint64_t aTokens) = 0;
  virtual void Release(GrantId aGrant, const ReleaseOutcome& aOutcome) = 0;
  virtual boost::asio::awaitable<AsyncResult<OperationDecision>> BeginOperation(
    OperationRequest aRequest) = 0;
  virtual void FinishOperation(const OperationAttempt& aAttempt,
                               OperationAnswer aAnswer) = 0;
  virtual boost::asio::awaitable<AsyncResult<std::string>>
  IssueOperationKey() = 0;
  virtual std::optional<SocketAddress> FindBackendServer(
    const BackendServerId& aBackendServer) = 0;
  virtual bool IsReady() = 0;
  virtual bool IsDraining() = 0;
};

} // namespace azurecross

#pragma once

#include "Assignment.h"
#include "DispatchRequest.h"
#include "Operation.h"
#include "RouteMatch.h"

#include <azurecross_core/azurecross_core.h>

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>

namespace azurecross {

/**
 * What the gateway needs of the control thread. Any worker thread may call
 * each function; awaitable ones resume on the caller's executor.
 *
 * - `MatchRoute` reads the active tables and never suspends. Its failures are
 *   `RouteNotFound`, and `NotReady` before the first valid tables.
 * - `Acquire` waits for a slot. Its failures have the verdict `NotRun`. If the
 *   awaiting coroutine is cancelled, the controller takes the request out of
 *   the queue and gives back a slot granted in the meantime.
 * - `ReportProgress` is given the total of tokens so far.
 * - `Release` is called exactly once for each assignment.
 * - `BeginOperation` decides about a non-idempotent request with a key;
 *   `FinishOperation` is called exactly once for each decision `Run`.
 * - `IssueOperationKey` makes a key owned by this entry.
 * - `FindBackendServer` has the address of a live backend server.
 * - `IsReady` and `IsDraining` are the state of the daemon as a whole.
 */
template<typename Controller>
concept RequestController = requires(Controller& aController,
                                     const RouteQuery& aQuery,
                                     DispatchRequest aRequest,
                                     GrantId aGrant,
                                     std::uint64_t aTokens,
                                     const ReleaseOutcome& aOutcome,
                                     OperationRequest aOperation,
                                     const OperationAttempt& aAttempt,
                                     OperationAnswer aAnswer,
                                     const BackendServerId& aBackendServer)
{
  {
    aController.MatchRoute(aQuery)
    } -> std::same_as<AsyncResult<RouteMatch>>;
  {
    aController.Acquire(std::move(aRequest))
    } -> std::same_as<boost::asio::awaitable<AsyncResult<Assignment>>>;
  {
    aController.ReportProgress(aGrant, aTokens)
    } -> std::same_as<void>;
  {
    aController.Release(aGrant, aOutcome)
    } -> std::same_as<void>;
  {
    aController.BeginOperation(std::move(aOperation))
    } -> std::same_as<boost::asio::awaitable<AsyncResult<OperationDecision>>>;
  {
    aController.FinishOperation(aAttempt, std::move(aAnswer))
    } -> std::same_as<void>;
  {
    aController.IssueOperationKey()
    } -> std::same_as<boost::asio::awaitable<AsyncResult<std::string>>>;
  {
    aController.FindBackendServer(aBackendServer)
    } -> std::same_as<std::optional<SocketAddress>>;
  {
    aController.IsReady()
    } -> std::same_as<bool>;
  {
    aController.IsDraining()
    } -> std::same_as<bool>;
};

} // namespace azurecross

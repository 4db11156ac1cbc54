#pragma once

#include "AnswerWriter.h"
#include "ExchangeFilter.h"
#include "OperationGuard.h"
#include "RequestContext.h"
#include "WorkerServices.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace azurecross {

/**
 * Takes one request through the filters: identify, match the route, check the
 * operation, acquire a slot, exchange with the backend server and relay; the
 * slot is released at the end of each attempt.
 */
class RequestPipeline
{
public:
  RequestPipeline(WorkerServices& aServices,
                  RequestContext& aContext,
                  AnswerWriter& aWriter,
                  RunningRequests::Registration& aRegistration);

  /** Serves the request; the caller has its answer at the end. */
  boost::asio::awaitable<void> Run();

private:
  using Failure = std::optional<Error>;

  /**
   * @returns whether an earlier attempt under the request's key may have run,
   * since the operations core has not been asked. Such a refusal must not say
   * `not_run`.
   */
  bool MayRepeatOperation() const;
  bool IsFirstAttempt() const;
  boost::asio::awaitable<Failure> RunFilters();
  boost::asio::awaitable<Failure> IssueOperationKey();
  boost::asio::awaitable<Failure> Resume();
  /** @returns whether to go on; otherwise the answer was a replay. */
  boost::asio::awaitable<AsyncResult<bool>> CheckOperation(
    std::unique_ptr<OperationGuard>& aGuard);
  boost::asio::awaitable<Failure> Dispatch(OperationGuard* aOperation);
  bool MayRetry(const Error& aError) const;
  void Raise(Error& aError);

  WorkerServices& services_;
  RequestContext& context_;
  AnswerWriter& writer_;
  RunningRequests::Registration& registration_;
  ExchangeFilter exchange_;
  bool isOperationChecked_ = false;
};

} // namespace azurecross

#pragma once

#include "AttemptResult.h"
#include "ForwardContext.h"
#include "ForwardServices.h"
#include "ResponseWriter.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace azurecross {

/**
 * Takes one request through the steps: read its demands, admit it, wait for a
 * backend server, exchange, and repeat where that is safe and the budget
 * allows it. The caller has an answer at the end.
 */
class ForwardPipeline
{
public:
  ForwardPipeline(ForwardServices& aServices,
                  ForwardContext& aContext,
                  ResponseWriter& aAnswer);

  boost::asio::awaitable<void> Run();

  /** Takes the caller's leaving. */
  void TakeCallerLeft();

private:
  using Failure = std::optional<Error>;

  boost::asio::awaitable<Failure> RunSteps();
  boost::asio::awaitable<Failure> Dispatch();
  boost::asio::awaitable<AsyncResult<StartedRun>> Acquire(
    const PlacementRequest& aRequest);
  boost::asio::awaitable<AttemptResult> Exchange(
    StartedRun& aRun,
    const PlacementRequest& aRequest);
  /** @returns whether another attempt at some server may follow this one. */
  bool MayFollow(const AttemptResult& aResult);
  bool TakeRetry(const AttemptResult& aResult);
  PlacementRequest MakePlacementRequest() const;
  void TakeTimeout();
  void LogEnd(const Failure& aFailure);

  ForwardServices& services_;
  ForwardContext& context_;
  ResponseWriter& answer_;
  Deadline timeout_;
  /** Backend servers that may have run the request. */
  unsigned runs_ = 0;
  std::optional<BufferedResponse> kept_;
  double loadShare_ = 0.0;
};

} // namespace azurecross

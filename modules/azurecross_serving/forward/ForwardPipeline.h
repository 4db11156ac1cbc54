#pragma once

#include "AttemptResult.h"
#include "ForwardContext.h"
#include "ForwardServices.h"
#include "ResponseWriter.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace azurecross {

/**
 * Processes one request: parses the metadata, admits the request, waits for a
 * backend server, forwards the request, and retries where that is safe and the
 * retry budget allows it.
 */
class ForwardPipeline
{
public:
  ForwardPipeline(ForwardServices& aServices,
                  ForwardContext& aContext,
                  ResponseWriter& aWriter);

  /** Processes the request. The caller has a response or is gone afterwards. */
  boost::asio::awaitable<void> Run();

  /**
   * Cancels the request after the caller disconnected, unless the request is a
   * non-idempotent call that was already sent.
   */
  void HandleCallerDisconnect();

  /** Ends the request because the daemon's shutdown ends. */
  void HandleShutdown();

  /** Refuses the request if it still waits for a backend server and would
   * outlast the daemon's shutdown. */
  void RefuseIfOutlastsShutdown();

private:
  using Failure = std::optional<Error>;

  /**
   * Admits and dispatches the request; sends the last 5xx response of a backend
   * server if no attempt did better.
   */
  boost::asio::awaitable<Failure> Process();
  /** Processes the request; an exception becomes a failure, so that the caller
   * is answered. */
  boost::asio::awaitable<Failure> ProcessSafely();
  /**
   * Sends the request to one backend server after another until an attempt
   * succeeds or must not be retried.
   */
  boost::asio::awaitable<Failure> Dispatch();
  /** Waits in the dispatcher for a backend server. */
  boost::asio::awaitable<AsyncResult<StartedRun>> Acquire(
    const PlacementRequest& aRequest);
  /** Sends the request to the backend server of the run. */
  boost::asio::awaitable<AttemptResult> RunAttempt(
    StartedRun& aRun,
    const PlacementRequest& aRequest);
  /** @returns whether the request may be sent to another backend server. */
  bool ShouldRetry(const AttemptResult& aResult);
  /** @returns whether the request may have ended the server, and another one
   * before it. */
  bool MayEndServers(const AttemptResult& aResult) const;
  /** @returns whether the retry budget of the pool allows another attempt. */
  bool ConsumeRetryBudget(const AttemptResult& aResult);
  PlacementRequest MakePlacementRequest() const;
  Fingerprint MakeFingerprint() const;
  /** @returns whether the daemon shuts down before the request would end. */
  bool OutlastsShutdown() const;
  void HandleTimeout();
  void LogResult(const Failure& aFailure);

  ForwardServices& services_;
  ForwardContext& context_;
  ResponseWriter& writer_;
  Deadline timeout_;
  /** Number of attempts that may have run the request. */
  unsigned possibleRuns_ = 0;
  std::optional<BufferedResponse> errorResponse_;
  double loadShare_ = 0.0;
};

} // namespace azurecross

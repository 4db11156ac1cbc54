#pragma once

#include "AttemptResult.h"
#include "BackendCall.h"
#include "ResponseWriter.h"

#include <boost/asio/awaitable.hpp>

namespace azurecross {

/**
 * One attempt of a call that is not a generation. The response is read
 * completely before the caller gets any part of it, so a damaged response can
 * be followed by another attempt.
 */
class CallExchange
{
public:
  CallExchange(ForwardServices& aServices,
               ForwardContext& aContext,
               ResponseWriter& aWriter)
    : services_(aServices)
    , context_(aContext)
    , writer_(aWriter)
  {
  }

  /**
   * Sends the request to the server of the run and forwards the response.
   * @param aMayRetry whether another attempt may follow.
   */
  boost::asio::awaitable<AttemptResult> Run(StartedRun& aRun, bool aMayRetry);

private:
  /**
   * @returns the deadline of the request, or an earlier one that leaves time
   * for another attempt.
   */
  Time GetAttemptDeadline(const StartedRun& aRun, bool aMayRetry) const;

  ForwardServices& services_;
  ForwardContext& context_;
  ResponseWriter& writer_;
};

/**
 * Reads the body of a response whose head was received, and forwards the
 * response unless another attempt has to follow. Used by calls and by
 * generations that are not answered with an event stream.
 * @param aMayRetry whether another attempt may follow; a 5xx response is then
 * kept in the result instead of forwarded.
 */
boost::asio::awaitable<AttemptResult>
ReadAndForwardResponse(ForwardContext& aContext,
                       BackendCall& aCall,
                       RunReservation& aReservation,
                       ResponseWriter& aWriter,
                       bool aMayRetry,
                       Time aDeadline);

/** @returns the end of a run that failed with the error. */
RunEnd
GetRunEnd(const Error& aError);

/** @returns the options for sending the request to the chosen server. */
SendOptions
MakeSendOptions(const ForwardContext& aContext, const PlacementChoice& aChoice);

} // namespace azurecross

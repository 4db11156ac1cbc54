#pragma once

#include "AnswerSender.h"
#include "AttemptResult.h"
#include "BackendCall.h"

#include <boost/asio/awaitable.hpp>

namespace azurecross {

/** One attempt of a plain call: the answer is read whole before the caller
 * gets any of it, so that a damaged one can be followed by another attempt. */
class CallExchange
{
public:
  CallExchange(ForwardServices& aServices,
               ForwardContext& aContext,
               AnswerSender& aAnswer)
    : services_(aServices)
    , context_(aContext)
    , answer_(aAnswer)
  {
  }

  /** @param aMayRepeat whether another attempt may follow this one. */
  boost::asio::awaitable<AttemptResult> Run(StartedRun& aRun, bool aMayRepeat);

private:
  Time FindAttemptDeadline(const StartedRun& aRun, bool aMayRepeat) const;

  ForwardServices& services_;
  ForwardContext& context_;
  AnswerSender& answer_;
};

/** Sends the plan's request and reads its answer whole into a result. Shared by
 * plain calls and generations that are not answered with a stream. */
boost::asio::awaitable<AttemptResult>
FinishWholeAnswer(ForwardContext& aContext,
                  BackendCall& aCall,
                  RunReservation& aHold,
                  AnswerSender& aAnswer,
                  bool aMayRepeat,
                  Time aDeadline);

/** @returns how a run ended that failed with this error. */
RunEnd
FindRunEnd(const Error& aError);

/** @returns the plan that puts the request to the chosen server. */
SendPlan
MakeSendPlan(const ForwardContext& aContext, const PlacementChoice& aChoice);

} // namespace azurecross

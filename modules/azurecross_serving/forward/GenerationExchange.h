#pragma once

#include "../moves/ActiveGeneration.h"
#include "AttemptResult.h"
#include "BackendCall.h"
#include "EventBuffer.h"
#include "ResponseWriter.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace azurecross {

/**
 * One attempt of a generation: passes the events on as they arrive. When the
 * stream stops because the generation moves, goes on from the copy of its
 * memory; the caller sees one stream with each event once.
 */
class GenerationExchange
{
public:
  GenerationExchange(ForwardServices& aServices,
                     ForwardContext& aContext,
                     ResponseWriter& aAnswer);
  ~GenerationExchange();

  GenerationExchange(const GenerationExchange&) = delete;
  GenerationExchange& operator=(const GenerationExchange&) = delete;

  boost::asio::awaitable<AttemptResult> Run(StartedRun& aRun,
                                            PlacementRequest aRequest);

private:
  /** What a read of the stream has brought. */
  enum class ReadOutcome
  {
    Bytes,
    /** The whole stream has arrived. */
    Ended,
    /** The stream broke off. */
    Broken,
  };

  boost::asio::awaitable<AttemptResult> Relay();
  boost::asio::awaitable<ReadOutcome> Read();
  /** Sends what has arrived. @returns false when the caller is gone. */
  boost::asio::awaitable<bool> PassOn();
  void CountEvents();
  boost::asio::awaitable<AttemptResult> FinishStream();
  AttemptResult FailStream();
  /** Waits until a move in progress has come to an end. */
  boost::asio::awaitable<void> AwaitMove();
  /** @returns whether the stream goes on from a copy. */
  boost::asio::awaitable<bool> Resume();
  boost::asio::awaitable<bool> ResumeAt(KvCacheCopy aCopy);
  bool IsUnframedEnd() const;
  void ExpectEnd();

  ForwardServices& services_;
  ForwardContext& context_;
  ResponseWriter& answer_;
  std::shared_ptr<ActiveGeneration> generation_;
  std::unique_ptr<BackendCall> call_;
  EventBuffer events_;
  std::optional<Error> readError_;
  Time lastEvent_;
  unsigned resumes_ = 0;
};

} // namespace azurecross

#pragma once

#include "../moves/ActiveGeneration.h"
#include "../quarantine/RunEvidence.h"
#include "AttemptResult.h"
#include "BackendCall.h"
#include "EventBuffer.h"
#include "ResponseWriter.h"
#include "StreamTiming.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <vector>

namespace azurecross {

/**
 * One attempt of a generation: forwards the events as they arrive. If the
 * stream stops because the generation moves to another engine, resumes from the
 * copy of its KV cache; the caller sees one stream with each event once.
 */
class GenerationExchange
{
public:
  GenerationExchange(ForwardServices& aServices,
                     ForwardContext& aContext,
                     ResponseWriter& aWriter);
  ~GenerationExchange();

  GenerationExchange(const GenerationExchange&) = delete;
  GenerationExchange& operator=(const GenerationExchange&) = delete;

  /**
   * Sends the request to the engine of the run and forwards the response.
   * @param aRequest the placement request, used again if the generation moves.
   */
  boost::asio::awaitable<AttemptResult> Run(StartedRun& aRun,
                                            PlacementRequest aRequest);

private:
  boost::asio::awaitable<AttemptResult> Execute(StartedRun& aRun,
                                                PlacementRequest aRequest);
  /** Result of one read of the stream. */
  enum class ReadOutcome
  {
    Data,
    /**
     * The stream ended; without framing, it may have been stopped for a move or
     * cut off.
     */
    Complete,
    /** The connection failed, or an event exceeds the size limit. */
    Broken,
  };

  /** Forwards events until the stream is complete or has failed. */
  boost::asio::awaitable<AttemptResult> RelayStream();
  boost::asio::awaitable<ReadOutcome> ReadStream();
  /**
   * Sends the complete events received so far.
   * @returns false if the caller has disconnected.
   */
  boost::asio::awaitable<bool> ForwardEvents();
  /** Adjusts the memory that is reserved for an incomplete event.
   * @returns whether the limits allow its size. */
  bool ReserveEventMemory();
  /** Updates the token count, the metrics and the load tracker. */
  void RecordEvents();
  boost::asio::awaitable<AttemptResult> FinishStream();
  /** Logs and counts a complete stream that missed a target of its route. */
  void RecordTiming();
  AttemptResult FailStream();
  /** Waits until a move in progress has finished or timed out. */
  boost::asio::awaitable<void> WaitForMove();
  /**
   * Resumes the generation from its copy, at the target of the move or, if that
   * fails, at the engine that stopped it.
   * @returns whether the stream continues.
   */
  boost::asio::awaitable<bool> Resume();
  /** Waits until it is known whether the engine of the broken stream may still
   * run the generation. */
  boost::asio::awaitable<void> WaitForStop();
  /** @returns whether the engine of the broken stream may still run the
   * generation, so that it must not resume elsewhere. */
  bool MayStillRun() const;
  /** Requests the remaining events from the engine of the copy.
   * @returns nothing if the stream continues, or else whether that engine may
   * run the generation. */
  boost::asio::awaitable<std::optional<Verdict>> ResumeFrom(KvCacheCopy aCopy);
  void LogResume(const KvCacheCopy& aCopy,
                 std::string_view aReason,
                 bool aIsResumed = false);
  /** @returns whether the end of the stream may have been caused by a move. */
  bool IsEndAmbiguous() const;
  /** @returns whether a stream that ends with its connection ended inside an
   * event or without any. */
  bool IsCutOff() const;
  /** Sets a deadline for the rest of a stream that its engine has stopped. */
  void HandleStopped();

  ForwardServices& services_;
  ForwardContext& context_;
  ResponseWriter& writer_;
  std::shared_ptr<ActiveGeneration> generation_;
  std::unique_ptr<BackendCall> call_;
  EventBuffer buffer_;
  BufferBudget::Reservation eventMemory_;
  std::optional<Error> readError_;
  Time lastEventTime_;
  StreamTiming timing_;
  unsigned resumeCount_ = 0;
  RunEvidence evidence_;
  /** When the stream broke off, if it has not been resumed. */
  std::optional<Time> brokenAt_;
};

} // namespace azurecross

#pragma once

#include "../forward/ForwardServices.h"
#include "ActiveGeneration.h"

#include <azurecross_http/azurecross_http.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <set>
#include <vector>

namespace azurecross {

/**
 * Moves the generations of this daemon off engines that drain: copies the KV
 * cache while the generation runs, stops the generation to copy the short
 * remainder, and lets the exchange resume from the copy.
 */
class GenerationMover
{
public:
  GenerationMover(boost::asio::io_context& aContext,
                  ForwardServices& aServices);

  GenerationMover(const GenerationMover&) = delete;
  GenerationMover& operator=(const GenerationMover&) = delete;

  /** Registers a generation while its stream is forwarded. */
  void Add(const std::shared_ptr<ActiveGeneration>& aGeneration);
  /** Moves a generation whose engine is draining, for example because the
   * engine started to drain while the generation was moved to it. */
  void MoveIfDraining(const std::shared_ptr<ActiveGeneration>& aGeneration);
  /**
   * Makes sure that the engine of a generation whose stream broke off does not
   * run it any more; the outcome is its `stage_` once `isMoving_` is false.
   * Without a copy to resume from, it does nothing.
   */
  void StopBroken(const std::shared_ptr<ActiveGeneration>& aGeneration);
  /** Removes a generation that has ended and releases an unused copy. */
  void Remove(const std::shared_ptr<ActiveGeneration>& aGeneration);

  /** Moves the generations off an engine that starts to drain. */
  void EvacuateServer(const BackendServerId& aServer);

private:
  using GenerationPtr = std::shared_ptr<ActiveGeneration>;

  /**
   * Copies one generation to another engine until the remainder is short, then
   * stops the generation and copies the remainder.
   * @param aMoveId the id of this move; it ends when the generation has another
   * one.
   */
  boost::asio::awaitable<void> MoveGeneration(GenerationPtr aGeneration,
                                              unsigned aMoveId);
  /** Makes the first copy, and repeats it until the generation can be stopped.
   */
  boost::asio::awaitable<void> CopyAndStop(GenerationPtr aGeneration,
                                           unsigned aMoveId);
  /** As `MoveGeneration`, for a generation with a copy and a broken stream. */
  boost::asio::awaitable<void> StopGeneration(GenerationPtr aGeneration,
                                              unsigned aMoveId);
  /** Asks the engine to stop until it is known whether the generation may still
   * run there. */
  boost::asio::awaitable<void> StopUntilKnown(GenerationPtr aGeneration,
                                              unsigned aMoveId);
  /** Decides what a failed stop request says about the engine.
   * @returns whether that is known. */
  boost::asio::awaitable<bool> ExamineEngine(GenerationPtr aGeneration,
                                             MoveResult aResult);
  /** Leaves the generation in a state from which it can resume or end. */
  void FinishMove(const GenerationPtr& aGeneration, unsigned aMoveId);
  /** Starts a move unless one has been started. */
  void StartMove(const GenerationPtr& aGeneration);
  /**
   * Makes the first copy; tries another target if one has no room.
   * @returns whether a copy was made.
   */
  boost::asio::awaitable<bool> MakeFirstCopy(GenerationPtr aGeneration);
  /** @returns whether a target engine was found and its capacity reserved. */
  bool ReserveTarget(ActiveGeneration& aGeneration,
                     const std::vector<BackendServerId>& aExcluded);
  /** @returns whether the zone of the copy's engine has been evacuated. */
  bool IsTargetEvacuated(const ActiveGeneration& aGeneration) const;
  /** Copies the KV cache without stopping the generation. */
  boost::asio::awaitable<MoveResult> CopyWhileRunning(
    GenerationPtr aGeneration);
  /**
   * Stops the generation and copies the tokens generated since the last copy.
   */
  boost::asio::awaitable<MoveResult> StopAndCopyRemainder(
    GenerationPtr aGeneration);
  boost::asio::awaitable<MoveResponse> SendMoveRequest(
    SocketAddress aEngine,
    MoveRequest aMoveRequest);
  /** Frees a copy that is not needed any more. */
  boost::asio::awaitable<void> ReleaseCopy(KvCacheCopy aCopy);
  GenerationPtr FindGeneration(RunId aRun) const;
  /** Logs and counts the outcome of one step of a move. */
  void LogStep(const ActiveGeneration& aGeneration,
               std::string_view aStep,
               std::string_view aOutcome);

  boost::asio::io_context& context_;
  ForwardServices& services_;
  HttpClient client_;
  std::set<GenerationPtr> generations_;
};

} // namespace azurecross

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
 * Takes this daemon's generations off engines that go away: copies the memory
 * while the generation runs, stops it for the short rest of the copy, and lets
 * the exchange go on from the copy.
 */
class GenerationMover
{
public:
  GenerationMover(boost::asio::io_context& aContext,
                  ForwardServices& aServices);

  GenerationMover(const GenerationMover&) = delete;
  GenerationMover& operator=(const GenerationMover&) = delete;

  /** Makes a generation known while its stream is passed on. */
  void Add(const std::shared_ptr<ActiveGeneration>& aGeneration);
  /** Forgets a generation that has ended and frees a copy that is left. */
  void Remove(const std::shared_ptr<ActiveGeneration>& aGeneration);

  /** Moves what runs on an engine that begins to leave. */
  void EvacuateServer(const BackendServerId& aServer);

private:
  using Generation = std::shared_ptr<ActiveGeneration>;

  boost::asio::awaitable<void> MoveOne(Generation aGeneration);
  /** Starts the move of a generation that is not moving yet. */
  void StartMove(const Generation& aGeneration);
  /** Makes the first copy, at another engine if the first has no room.
   * @returns whether there is one. */
  boost::asio::awaitable<bool> MakeFirstCopy(Generation aGeneration);
  /** @returns whether a place for the generation is found and kept. */
  bool FindPlace(ActiveGeneration& aGeneration,
                 const std::vector<BackendServerId>& aExcluded);
  boost::asio::awaitable<MoveResult> CopyRunning(Generation aGeneration);
  boost::asio::awaitable<void> StopAndCopyRest(Generation aGeneration);
  boost::asio::awaitable<MoveResponse> CallMove(SocketAddress aEngine,
                                                MoveRequest aCall);
  boost::asio::awaitable<void> DropCopy(KvCacheCopy aCopy);
  Generation Find(RunNumber aRun) const;
  void LogEnd(const ActiveGeneration& aGeneration,
              std::string_view aStep,
              std::string_view aOutcome);

  boost::asio::io_context& context_;
  ForwardServices& services_;
  HttpClient client_;
  std::set<Generation> generations_;
};

} // namespace azurecross

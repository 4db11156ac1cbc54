#pragma once

#include "../forward/ForwardServices.h"
#include "../peers/LoadExchange.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurecross {

/** A generation whose engine broke the connection before it had answered, or
 * may have done so. */
struct UnansweredRun
{
  std::string attemptId_;
  BackendServerId server_;
  SocketAddress address_;
  std::vector<Fingerprint> fingerprints_;
  /** When the connection broke. */
  Time brokenAt_;
  /** The answer looks whole: it is one if the engine is alive. */
  bool mayBeWhole_ = false;
};

/**
 * Finds out whether an engine that broke the connection of an unanswered
 * generation has died, and then reports the parts of the prompt as evidence to
 * the quarantine and to the other daemons. Connections also break on engines
 * that are alive, so only an engine that refuses a new connection counts as
 * dead. A network may also refuse on behalf of living engines that are cut off,
 * so another server of the engine's zone has to accept a connection.
 *
 * @see RequestQuarantine
 */
class ServerDeathProbe
{
public:
  ServerDeathProbe(boost::asio::io_context& aContext,
                   ForwardServices& aServices,
                   LoadExchange& aPeers);

  ServerDeathProbe(const ServerDeathProbe&) = delete;
  ServerDeathProbe& operator=(const ServerDeathProbe&) = delete;

  /** Examines the engine of the run in the background. */
  void Examine(UnansweredRun aRun);

private:
  boost::asio::awaitable<void> Probe(UnansweredRun aRun);
  /** @returns whether another server of the engine's zone accepts a connection,
   * or none is left to ask. */
  boost::asio::awaitable<bool> IsZoneReachable(BackendServerId aEngine);
  /** @returns servers of the engine's zone which are not known to be dead,
   * those that answered their last request first. */
  std::vector<SocketAddress> SelectWitnesses(const BackendServerId& aEngine);

  boost::asio::io_context& context_;
  ForwardServices& services_;
  LoadExchange& peers_;
  /** The engines that were found dead, with the start of their processes. */
  std::map<BackendServerId, std::int64_t> deadEngines_;
};

} // namespace azurecross

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

/** A run whose server broke the connection before it had answered, or may have
 * done so. */
struct UnansweredRun
{
  std::string attemptId_;
  BackendServerId server_;
  SocketAddress address_;
  std::vector<Fingerprint> fingerprints_;
  /** When the connection broke. */
  Time brokenAt_;
  /** The answer looks whole: it is one if the server is alive. */
  bool mayBeWhole_ = false;
};

/**
 * Finds out whether a server that broke the connection of an unanswered run has
 * died, and then reports the fingerprints of the request as evidence to the
 * quarantine and to the other daemons. Connections also break on servers that
 * are alive, so only a server that refuses a new connection counts as dead. A
 * network may also refuse on behalf of living servers that are cut off, so
 * another server of the zone has to accept a connection. The runs that break
 * while a server is examined share its next examination.
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

  /** Examines the server of the run in the background. */
  void Examine(UnansweredRun aRun);

private:
  /** What an examination has shown. */
  enum class Finding
  {
    Dead,
    /** No other server of the zone accepted a connection either. */
    ZoneUnreachable,
    Alive,
    /** Neither accepted nor refused. */
    Unknown,
  };

  static constexpr NameTable<Finding, 4> kFindingNames{
    { { { Finding::Dead, "dead" },
        { Finding::ZoneUnreachable, "zone unreachable" },
        { Finding::Alive, "not dead" },
        { Finding::Unknown, "unknown" } } }
  };

  /** Examines the server until no run of it waits. */
  boost::asio::awaitable<void> ExamineServer(BackendServerId aServer);
  /** @returns whether the server refuses connections because it is dead, or
   * else what the connection attempt showed. */
  boost::asio::awaitable<Finding> Probe(BackendServerId aServer,
                                        SocketAddress aAddress);
  /** Reports what the examination says about a run.
   * @returns whether other daemons should be told. */
  bool Report(const UnansweredRun& aRun, Finding aFinding);
  /** @returns whether another server of the zone accepts a connection, or none
   * is left to ask. */
  boost::asio::awaitable<bool> IsZoneReachable(BackendServerId aServer);
  /** @returns servers of the server's zone which are not known to be dead,
   * those that answered their last request first. */
  std::vector<SocketAddress> SelectWitnesses(const BackendServerId& aServer);

  boost::asio::io_context& context_;
  ForwardServices& services_;
  LoadExchange& peers_;
  /** The runs that wait for an examination of their server. A server with an
   * entry is being examined. */
  std::map<BackendServerId, std::vector<UnansweredRun>> waitingRuns_;
  /** The servers that were found dead, with the start of their processes. */
  std::map<BackendServerId, std::int64_t> deadServers_;
};

} // namespace azurecross

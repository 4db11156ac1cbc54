#include "ServerDeathProbe.h"

#include "../forward/ConnectProbe.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace azurecross {

namespace asio = boost::asio;

namespace {

/** A VM that is reachable refuses a connection within a few milliseconds. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
/** Several servers of a zone may have ended at the same moment. */
constexpr std::size_t kMaxWitnesses = 3;

} // namespace

ServerDeathProbe::ServerDeathProbe(asio::io_context& aContext,
                                   ForwardServices& aServices,
                                   LoadExchange& aPeers)
  : context_(aContext)
  , services_(aServices)
  , peers_(aPeers)
{
}

void
ServerDeathProbe::Examine(UnansweredRun aRun)
{
  const ServerLoad* server =
    services_.state_.GetLoadTracker().Find(aRun.server_);
  // The end of an engine that is draining has a known cause.
  const bool isUnexpected =
    server != nullptr && server->record_.state_ == ServerState::Ready;
  if (isUnexpected && !aRun.fingerprints_.empty()) {
    asio::co_spawn(context_, Probe(std::move(aRun)), asio::detached);
  }
}

asio::awaitable<void>
ServerDeathProbe::Probe(UnansweredRun aRun)
{
  const ConnectOutcome outcome =
    co_await ProbeConnect(aRun.address_, kConnectTimeout);
  const bool isRefused = outcome == ConnectOutcome::Refused;
  const bool isDead = isRefused && co_await IsZoneReachable(aRun.server_);
  services_.log_.Write(Decision::ServerExamined,
                       { { "request", aRun.attemptId_ },
                         { "backend_server", aRun.server_ },
                         { "address", aRun.address_.Format() },
                         { "outcome",
                           isDead      ? "dead"
                           : isRefused ? "zone unreachable"
                                       : "not dead" } });
  if (outcome == ConnectOutcome::Accepted && aRun.mayBeWhole_) {
    services_.state_.RecordAnswered(aRun.fingerprints_, ReadMonotonicTime());
  }
  if (!isDead) {
    co_return;
  }
  const ServerLoad* engine =
    services_.state_.GetLoadTracker().Find(aRun.server_);
  if (engine != nullptr) {
    deadEngines_[aRun.server_] = engine->record_.startedUnixMs_;
  }
  const bool isNew = services_.state_.RecordServerDeath(
    aRun.fingerprints_, aRun.server_, aRun.brokenAt_, ReadMonotonicTime());
  if (isNew) {
    peers_.SendEvidence();
  }
}

asio::awaitable<bool>
ServerDeathProbe::IsZoneReachable(BackendServerId aEngine)
{
  const std::vector<SocketAddress> witnesses = SelectWitnesses(aEngine);
  for (const SocketAddress& witness : witnesses) {
    const ConnectOutcome outcome =
      co_await ProbeConnect(witness, kConnectTimeout);
    if (outcome == ConnectOutcome::Accepted) {
      co_return true;
    }
  }
  co_return witnesses.empty();
}

std::vector<SocketAddress>
ServerDeathProbe::SelectWitnesses(const BackendServerId& aEngine)
{
  const ServerLoadTracker& tracker = services_.state_.GetLoadTracker();
  std::erase_if(deadEngines_, [&](const auto& aDead) {
    const ServerLoad* server = tracker.Find(aDead.first);
    return server == nullptr || server->record_.startedUnixMs_ != aDead.second;
  });
  std::vector<const ServerLoad*> servers;
  const ServerLoad* engine = tracker.Find(aEngine);
  for (const auto& [id, server] : tracker.GetServers()) {
    const bool isWitness = engine != nullptr && id != aEngine &&
                           server.record_.zone_ == engine->record_.zone_ &&
                           server.record_.state_ == ServerState::Ready &&
                           !deadEngines_.contains(id);
    if (isWitness) {
      servers.push_back(&server);
    }
  }
  std::stable_sort(servers.begin(),
                   servers.end(),
                   [](const ServerLoad* aLeft, const ServerLoad* aRight) {
                     return aLeft->consecutiveFailures_ <
                            aRight->consecutiveFailures_;
                   });
  servers.resize(std::min(servers.size(), kMaxWitnesses));
  std::vector<SocketAddress> witnesses;
  witnesses.reserve(servers.size());
  for (const ServerLoad* server : servers) {
    witnesses.push_back(server->record_.address_);
  }
  return witnesses;
}

} // namespace azurecross

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
  // The end of a server that is draining has a known cause.
  const bool isUnexpected =
    server != nullptr && server->record_.state_ == ServerState::Ready;
  if (!isUnexpected || aRun.fingerprints_.empty()) {
    return;
  }
  const BackendServerId id = aRun.server_;
  const auto [entry, isFirst] = waitingRuns_.try_emplace(id);
  entry->second.push_back(std::move(aRun));
  if (isFirst) {
    asio::co_spawn(context_, ExamineServer(id), asio::detached);
  }
}

asio::awaitable<void>
ServerDeathProbe::ExamineServer(BackendServerId aServer)
{
  for (;;) {
    const std::vector<UnansweredRun> runs =
      std::exchange(waitingRuns_[aServer], {});
    if (runs.empty()) {
      waitingRuns_.erase(aServer);
      co_return;
    }
    const Finding finding = co_await Probe(aServer, runs.front().address_);
    bool hasNewEvidence = false;
    for (const UnansweredRun& run : runs) {
      hasNewEvidence = Report(run, finding) || hasNewEvidence;
    }
    if (hasNewEvidence) {
      peers_.SendEvidence();
    }
  }
}

asio::awaitable<ServerDeathProbe::Finding>
ServerDeathProbe::Probe(BackendServerId aServer, SocketAddress aAddress)
{
  const ConnectOutcome outcome =
    co_await ProbeConnect(aAddress, kConnectTimeout);
  if (outcome != ConnectOutcome::Refused) {
    co_return outcome == ConnectOutcome::Accepted ? Finding::Alive
                                                  : Finding::Unknown;
  }
  const bool isZoneReachable = co_await IsZoneReachable(aServer);
  co_return isZoneReachable ? Finding::Dead : Finding::ZoneUnreachable;
}

bool
ServerDeathProbe::Report(const UnansweredRun& aRun, Finding aFinding)
{
  services_.log_.Write(Decision::ServerExamined,
                       { { "request", aRun.attemptId_ },
                         { "backend_server", aRun.server_ },
                         { "address", aRun.address_.Format() },
                         { "outcome", kFindingNames.FindName(aFinding) } });
  if (aFinding == Finding::Alive && aRun.mayBeWhole_) {
    services_.state_.RecordAnswered(aRun.fingerprints_, ReadMonotonicTime());
  }
  if (aFinding != Finding::Dead) {
    return false;
  }
  const ServerLoad* server =
    services_.state_.GetLoadTracker().Find(aRun.server_);
  if (server != nullptr) {
    deadServers_[aRun.server_] = server->record_.startedUnixMs_;
  }
  return services_.state_.RecordServerDeath(
    aRun.fingerprints_, aRun.server_, aRun.brokenAt_, ReadMonotonicTime());
}

asio::awaitable<bool>
ServerDeathProbe::IsZoneReachable(BackendServerId aServer)
{
  const std::vector<SocketAddress> witnesses = SelectWitnesses(aServer);
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
ServerDeathProbe::SelectWitnesses(const BackendServerId& aServer)
{
  const ServerLoadTracker& tracker = services_.state_.GetLoadTracker();
  std::erase_if(deadServers_, [&](const auto& aDead) {
    const ServerLoad* server = tracker.Find(aDead.first);
    return server == nullptr || server->record_.startedUnixMs_ != aDead.second;
  });
  std::vector<const ServerLoad*> servers;
  const ServerLoad* examined = tracker.Find(aServer);
  for (const auto& [id, server] : tracker.GetServers()) {
    const bool isWitness = examined != nullptr && id != aServer &&
                           server.record_.zone_ == examined->record_.zone_ &&
                           server.record_.state_ == ServerState::Ready &&
                           !deadServers_.contains(id);
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

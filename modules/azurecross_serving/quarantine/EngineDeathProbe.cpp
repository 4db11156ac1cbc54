#include "EngineDeathProbe.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <variant>

namespace azurecross {

namespace asio = boost::asio;

namespace {

/** A VM that is reachable refuses a connection within a few milliseconds. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
/** Several servers of a zone may have ended at the same moment. */
constexpr std::size_t kMaxWitnesses = 3;

} // namespace

EngineDeathProbe::EngineDeathProbe(asio::io_context& aContext,
                                   ForwardServices& aServices,
                                   LoadExchange& aPeers)
  : context_(aContext)
  , services_(aServices)
  , peers_(aPeers)
{
}

void
EngineDeathProbe::Examine(UnansweredRun aRun)
{
  const ServerLoad* server =
    services_.state_.GetLoadTracker().Find(aRun.server_);
  // The end of an engine that is draining has a known cause.
  const bool isUnexpected =
    server != nullptr && server->record_.state_ == ServerState::Ready;
  if (isUnexpected && !aRun.parts_.empty()) {
    asio::co_spawn(context_, Probe(std::move(aRun)), asio::detached);
  }
}

asio::awaitable<void>
EngineDeathProbe::Probe(UnansweredRun aRun)
{
  const std::optional<bool> isListening = co_await IsListening(aRun.address_);
  const bool isRefused = isListening == false;
  const bool isDead = isRefused && co_await IsZoneReachable(aRun.server_);
  services_.log_.Write(Decision::EngineExamined,
                       { { "request", aRun.attemptId_ },
                         { "backend_server", aRun.server_ },
                         { "address", aRun.address_.Format() },
                         { "outcome",
                           isDead      ? "dead"
                           : isRefused ? "zone unreachable"
                                       : "not dead" } });
  if (isListening == true && aRun.mayBeWhole_) {
    services_.state_.RecordPromptAnswer(aRun.parts_, ReadMonotonicTime());
  }
  if (!isDead) {
    co_return;
  }
  const ServerLoad* engine =
    services_.state_.GetLoadTracker().Find(aRun.server_);
  if (engine != nullptr) {
    deadEngines_[aRun.server_] = engine->record_.startedUnixMs_;
  }
  const bool isNew = services_.state_.RecordEngineDeath(
    aRun.parts_, aRun.server_, aRun.brokenAt_, ReadMonotonicTime());
  if (isNew) {
    peers_.SendEvidence();
  }
}

asio::awaitable<bool>
EngineDeathProbe::IsZoneReachable(BackendServerId aEngine)
{
  const std::vector<SocketAddress> witnesses = SelectWitnesses(aEngine);
  for (const SocketAddress& witness : witnesses) {
    const auto isListening = co_await IsListening(witness);
    if (isListening == true) {
      co_return true;
    }
  }
  co_return witnesses.empty();
}

std::vector<SocketAddress>
EngineDeathProbe::SelectWitnesses(const BackendServerId& aEngine)
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

asio::awaitable<std::optional<bool>>
EngineDeathProbe::IsListening(SocketAddress aAddress)
{
  using namespace asio::experimental::awaitable_operators;
  boost::system::error_code code;
  const auto host = asio::ip::make_address(aAddress.host_, code);
  if (code) {
    co_return std::nullopt;
  }
  asio::ip::tcp::socket socket(context_);
  asio::steady_timer timer(context_, kConnectTimeout);
  const asio::ip::tcp::endpoint endpoint(host, aAddress.port_);
  constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
  const auto first = co_await (socket.async_connect(endpoint, kToken) ||
                               timer.async_wait(kToken));
  const auto* connected = std::get_if<0>(&first);
  if (connected == nullptr) {
    co_return std::nullopt;
  }
  const boost::system::error_code result = std::get<0>(*connected);
  if (result == asio::error::connection_refused) {
    co_return false;
  }
  co_return result ? std::nullopt : std::optional(true);
}

} // namespace azurecross

#include "EngineDeathProbe.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <variant>

namespace azurecross {

namespace asio = boost::asio;

namespace {

/** A VM that is reachable refuses a connection within a few milliseconds. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

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
  const bool isDead = isListening == false;
  services_.log_.Write(Decision::EngineExamined,
                       { { "request", aRun.attemptId_ },
                         { "backend_server", aRun.server_ },
                         { "address", aRun.address_.Format() },
                         { "outcome", isDead ? "dead" : "not dead" } });
  if (isListening == true && aRun.mayBeWhole_) {
    services_.state_.RecordPromptAnswer(aRun.parts_, ReadMonotonicTime());
  }
  if (!isDead) {
    co_return;
  }
  const bool isNew = services_.state_.RecordEngineDeath(
    aRun.parts_, aRun.server_, aRun.brokenAt_, ReadMonotonicTime());
  if (isNew) {
    peers_.SendEvidence();
  }
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

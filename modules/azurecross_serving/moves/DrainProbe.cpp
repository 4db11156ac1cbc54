#include "DrainProbe.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace azurecross {

namespace asio = boost::asio;

namespace {

/**
 * The shortest reclaim notice is 1.5 s; this interval leaves at least one
 * second of it for copies.
 */
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(400);

HttpClientLimits
MakeLimits()
{
  HttpClientLimits limits;
  limits.connectTimeout_ = kProbeTimeout;
  limits.answerTimeout_ = kProbeTimeout;
  limits.bodyLimitBytes_ = kEngineResponseLimitBytes;
  return limits;
}

} // namespace

DrainProbe::DrainProbe(asio::io_context& aContext,
                       ForwardServices& aServices,
                       LoadExchange& aPeers)
  : context_(aContext)
  , services_(aServices)
  , peers_(aPeers)
  , client_(aContext.get_executor(), MakeLimits())
{
}

void
DrainProbe::Start()
{
  asio::co_spawn(context_, Run(), asio::detached);
}

asio::awaitable<void>
DrainProbe::Run()
{
  asio::steady_timer timer(context_);
  for (;;) {
    timer.expires_after(kProbeInterval);
    co_await timer.async_wait(asio::use_awaitable);
    for (const ServerRecord& engine : FindEnginesToProbe()) {
      asio::co_spawn(context_, ProbeEngine(engine), asio::detached);
    }
  }
}

std::vector<ServerRecord>
DrainProbe::FindEnginesToProbe() const
{
  std::vector<ServerRecord> engines;
  if (services_.state_.IsStoreReachable() ||
      peers_.HasPeerWithStoreAccess(ReadMonotonicTime())) {
    return engines;
  }
  const ServerLoadTracker& tracker = services_.state_.GetLoadTracker();
  for (const auto& [id, server] : tracker.GetServers()) {
    const bool canMove = server.engine_ && server.engine_->canMove_;
    if (canMove && server.ownUsage_.runs_ > 0 &&
        server.record_.state_ == ServerState::Ready &&
        ReadMonotonicTime() >= server.pausedUntil_ &&
        tracker.IsDesignatedUser(peers_.GetName(), id)) {
      engines.push_back(server.record_);
    }
  }
  return engines;
}

asio::awaitable<void>
DrainProbe::ProbeEngine(ServerRecord aEngine)
{
  HttpRequest request = services_.wire_.BuildStatusRequest();
  const AsyncResult<HttpResponse> response =
    co_await client_.Send(aEngine.address_, std::move(request));
  if (!response) {
    co_return;
  }
  const auto status = services_.wire_.ParseStatusResponse(*response);
  if (status && status->isDraining_) {
    services_.state_.HandleLeavingNotice(
      aEngine.id_, "reported by the engine", ReadMonotonicTime());
    peers_.SendReports();
  }
}

} // namespace azurecross

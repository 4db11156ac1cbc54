#include "FaultProxy.h"

#include <array>
#include <thread>

#include <poll.h>

namespace azurecross::soak {

namespace {

using review::IoResult;
using review::Milliseconds;

constexpr Milliseconds kConnectTimeout{ 1000 };
constexpr Milliseconds kPollInterval{ 20 };
constexpr Milliseconds kDelay{ 150 };

} // namespace

FaultProxy::FaultProxy(const std::string& aIp, review::Endpoint aTarget)
  : target_(std::move(aTarget))
  , listener_({ aIp, 0 }, [this](review::Socket& aSocket) { Forward(aSocket); })
{
}

void
FaultProxy::Forward(review::Socket& aClient)
{
  review::Socket server;
  if (fault_ == LinkFault::Reset || !server.Connect(target_, kConnectTimeout)) {
    aClient.Reset();
    return;
  }
  bool hasLostBytes = false;
  for (;;) {
    if (fault_ == LinkFault::Reset) {
      aClient.Reset();
      server.Reset();
      return;
    }
    if (fault_ == LinkFault::Silence) {
      std::this_thread::sleep_for(kPollInterval);
      continue;
    }
    std::array<pollfd, 2> sockets = {
      pollfd{ aClient.GetDescriptor(), POLLIN, 0 },
      pollfd{ server.GetDescriptor(), POLLIN, 0 }
    };
    poll(
      sockets.data(), sockets.size(), static_cast<int>(kPollInterval.count()));
    const bool isOpen =
      (sockets[0].revents == 0 || ForwardRequest(aClient, server)) &&
      (sockets[1].revents == 0 ||
       ForwardResponse(server, aClient, hasLostBytes));
    if (!isOpen) {
      return;
    }
  }
}

std::optional<std::string>
FaultProxy::Receive(review::Socket& aFrom) const
{
  std::string bytes;
  if (aFrom.Receive(bytes, Milliseconds(0)) != IoResult::Done) {
    return std::nullopt;
  }
  if (fault_ == LinkFault::Delay) {
    std::this_thread::sleep_for(kDelay);
  }
  return bytes;
}

bool
FaultProxy::ForwardRequest(review::Socket& aClient,
                           review::Socket& aServer) const
{
  const auto bytes = Receive(aClient);
  return bytes && aServer.Send(*bytes);
}

bool
FaultProxy::ForwardResponse(review::Socket& aServer,
                            review::Socket& aClient,
                            bool& aHasLostBytes) const
{
  const auto bytes = Receive(aServer);
  aHasLostBytes = aHasLostBytes || fault_ == LinkFault::LoseResponses;
  return bytes && (aHasLostBytes || aClient.Send(*bytes));
}

} // namespace azurecross::soak

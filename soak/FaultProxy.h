#pragma once

#include <azurecross_core/azurecross_core.h>
#include <review/common/Sockets.h>

#include <atomic>
#include <optional>
#include <string>

namespace azurecross::soak {

using review::Clock;

/** What a proxy does with its connections. */
enum class LinkFault
{
  None,
  /** Each piece is forwarded after a delay. */
  Delay,
  /** Connections are reset, new ones too. */
  Reset,
  /** Nothing is forwarded, and connections stay open. */
  Silence,
  /** Requests are forwarded, responses are not. A connection that has lost a
   * part of a response forwards no further one, also after the fault: what
   * follows would be taken for the part that is missing. */
  LoseResponses,
};

inline constexpr NameTable<LinkFault, 5> kLinkFaultNames{
  { { { LinkFault::None, "none" },
      { LinkFault::Delay, "delay" },
      { LinkFault::Reset, "reset" },
      { LinkFault::Silence, "silence" },
      { LinkFault::LoseResponses, "lose_responses" } } }
};

/** Forwards TCP connections to a target and disturbs them on request. */
class FaultProxy
{
public:
  FaultProxy(const std::string& aIp, review::Endpoint aTarget);
  // A silenced connection doesn't notice that the listener closes it.
  ~FaultProxy() { SetFault(LinkFault::Reset); }

  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  const review::Endpoint& GetEndpoint() const
  {
    return listener_.GetEndpoint();
  }
  void SetFault(LinkFault aFault) { fault_ = aFault; }

private:
  void Forward(review::Socket& aClient);
  /** @returns what has arrived, or nothing at the end of the connection. */
  std::optional<std::string> Receive(review::Socket& aFrom) const;
  /** @returns whether the connection goes on. */
  bool ForwardRequest(review::Socket& aClient, review::Socket& aServer) const;
  /** @param aHasLostBytes whether the connection has lost a part of a response.
   * @returns whether the connection goes on. */
  bool ForwardResponse(review::Socket& aServer,
                       review::Socket& aClient,
                       bool& aHasLostBytes) const;

  review::Endpoint target_;
  std::atomic<LinkFault> fault_ = LinkFault::None;
  review::Listener listener_;
};

} // namespace azurecross::soak

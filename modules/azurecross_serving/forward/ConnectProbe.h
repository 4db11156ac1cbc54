#pragma once

#include <azurecross_core/azurecross_core.h>

#include <boost/asio/awaitable.hpp>

namespace azurecross {

/** What a connection attempt shows about a server. */
enum class ConnectOutcome
{
  Accepted,
  /** The VM is reachable, and nothing listens at the address. */
  Refused,
  /** No answer within the timeout, or another failure: nothing is known. */
  Unanswered,
};

/** Connects to the address and closes the connection again. */
boost::asio::awaitable<ConnectOutcome>
ProbeConnect(SocketAddress aAddress, Duration aTimeout);

} // namespace azurecross

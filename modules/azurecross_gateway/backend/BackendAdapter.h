#pragma once

#include "../filters/RequestContext.h"
#include "BackendConnection.h"

#include <concepts>
#include <optional>
#include <string>

namespace azurecross {

/** A request to a backend server, as text. */
struct OutgoingRequest
{
  std::string head_;
  std::string body_;
};

/**
 * How requests of one kind are put to backend servers: an adapter writes the
 * request and checks that the head of an answer belongs to it.
 */
template<typename Adapter>
concept BackendAdapter = requires(const RequestContext& aContext,
                                  const SocketAddress& aAddress,
                                  const BackendConnection::Head& aHead)
{
  {
    Adapter::BuildRequest(aContext, aAddress)
    } -> std::same_as<OutgoingRequest>;
  {
    Adapter::CheckHead(aContext, aHead)
    } -> std::same_as<std::optional<Error>>;
};

} // namespace azurecross

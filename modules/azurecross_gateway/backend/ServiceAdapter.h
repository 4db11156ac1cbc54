#pragma once

#include "BackendAdapter.h"

namespace azurecross {

/** Puts calls to plain services as the caller made them. @see BackendAdapter */
struct ServiceAdapter
{
  /** Passes on method, target, body and all end-to-end headers. */
  static OutgoingRequest BuildRequest(const RequestContext& aContext,
                                      const SocketAddress& aAddress);

  /** A request id in the answer must be the request's; it may be absent. */
  static std::optional<Error> CheckHead(const RequestContext& aContext,
                                        const BackendConnection::Head& aHead);

  /** @returns whether a header concerns one connection only. */
  static bool IsHopByHop(boost::beast::http::field aField);
};

static_assert(BackendAdapter<ServiceAdapter>);

} // namespace azurecross

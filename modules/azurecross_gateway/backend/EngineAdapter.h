#pragma once

#include "BackendAdapter.h"

namespace azurecross {

/** Puts generations to model engines. @see BackendAdapter */
struct EngineAdapter
{
  /** Rewrites the body with the priority of the route's rank. */
  static OutgoingRequest BuildRequest(const RequestContext& aContext,
                                      const SocketAddress& aAddress);

  /** Asks for the events of a generation after the caller's last one. */
  static OutgoingRequest BuildResume(const RequestContext& aContext,
                                     const SocketAddress& aAddress);

  /** The request id must come back. */
  static std::optional<Error> CheckHead(const RequestContext& aContext,
                                        const BackendConnection::Head& aHead);

  /**
   * @returns the output tokens that a whole answer states in its usage, or 0 if
   * it states none.
   */
  static std::uint64_t ReadUsedTokens(std::string_view aBody);

  /** @returns whether the answer is an event stream. */
  static bool IsEventStream(const BackendConnection::Head& aHead);
};

static_assert(BackendAdapter<EngineAdapter>);

} // namespace azurecross

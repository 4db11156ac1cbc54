#pragma once

#include <azurecross_core/azurecross_core.h>
#include <azurecross_gateway/azurecross_gateway.h>

#include <optional>
#include <string>

namespace azurecross {

/** A whole answer of a backend server, kept until it is known to be the best
 * one for the caller. */
struct BufferedResponse
{
  BackendConnection::Head head_;
  std::string body_;
};

/** How one attempt at a backend server ended. */
struct AttemptResult
{
  /** Whether the caller has the answer, or a part of it. */
  bool isAnswered_ = false;
  /** Why it is not answered whole. */
  std::optional<Error> error_;
  /** A failure that the backend server itself answered. */
  std::optional<BufferedResponse> kept_;
  /** Whether no byte of the request has left. */
  bool isUnsent_ = false;
};

} // namespace azurecross

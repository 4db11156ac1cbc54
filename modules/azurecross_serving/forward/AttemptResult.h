#pragma once

#include <azurecross_core/azurecross_core.h>
#include <azurecross_gateway/azurecross_gateway.h>

#include <optional>
#include <string>

namespace azurecross {

/**
 * A complete response of a backend server, buffered until no further attempt
 * can produce a better one.
 */
struct BufferedResponse
{
  BackendConnection::Head head_;
  std::string body_;
};

/** Outcome of one attempt at a backend server. */
struct AttemptResult
{
  /** Whether any part of a response was sent to the caller. */
  bool isResponseStarted_ = false;
  /** Whether the server sent a complete response of its own, of any status. */
  bool isAnswered_ = false;
  /** Set if the caller did not get a complete response. */
  std::optional<Error> error_;
  /** The 5xx response of the backend server, if another attempt may follow. */
  std::optional<BufferedResponse> errorResponse_;
  /** Whether no byte of the request was sent. */
  bool isUnsent_ = false;
};

} // namespace azurecross

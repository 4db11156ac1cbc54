#pragma once

#include "../messages/HttpMessages.h"

#include <azurecross_core/azurecross_core.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace azurecross {

/** Bounds of one call. */
struct HttpClientLimits
{
  Duration connectTimeout_ = std::chrono::seconds(2);
  /** From the connection until the last byte; for streams, between reads. */
  Duration answerTimeout_ = std::chrono::seconds(5);
  std::size_t bodyLimitBytes_ = std::size_t{ 8 } << 20;
  /** If set, the longest time from the start of the call to the first byte of
   * the answer, and between two reads of it. Not used for streams. */
  std::optional<Duration> silenceTimeout_ = std::nullopt;
};

/**
 * Sends requests over HTTP/1.1, each on a connection of its own.
 *
 * A failure says whether the request may have run: `NotRun` up to the first
 * byte written, `MayHaveRun` after it. Its code is `DeadlineExceeded` after a
 * timeout and `BackendServerFailed` otherwise. Cancelling the awaiting
 * coroutine closes the connection.
 */
class HttpClient
{
public:
  /** Takes a part of a streamed body; @returns whether to go on reading. */
  using PartHandler = std::function<bool(std::string_view aPart)>;

  explicit HttpClient(boost::asio::any_io_executor aExecutor,
                      HttpClientLimits aLimits = {});

  /** Sends a request and reads the whole response. */
  boost::asio::awaitable<AsyncResult<HttpResponse>> Send(SocketAddress aAddress,
                                                         HttpRequest aRequest);

  /**
   * Sends a request and passes the body on as it arrives.
   * @returns the response without its body, after the body's end or after the
   * handler has returned false.
   */
  boost::asio::awaitable<AsyncResult<HttpResponse>>
  Stream(SocketAddress aAddress, HttpRequest aRequest, PartHandler aHandler);

private:
  boost::asio::any_io_executor executor_;
  HttpClientLimits limits_;
};

} // namespace azurecross

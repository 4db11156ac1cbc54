#pragma once

#include "ForwardContext.h"
#include "ForwardServices.h"

#include <azurecross_gateway/azurecross_gateway.h>

#include <boost/asio/awaitable.hpp>

#include <string>
#include <string_view>

namespace azurecross {

/**
 * Writes the response to one request: a complete response, an event stream or
 * an error.
 */
class ResponseWriter
{
public:
  ResponseWriter(ForwardServices& aServices,
                 ForwardContext& aContext,
                 CallerChannel& aCaller);

  /** Sends an error of this daemon as a JSON body. */
  boost::asio::awaitable<void> WriteError(const Error& aError);

  /**
   * Sends a complete response of a backend server unchanged, except for
   * hop-by-hop headers.
   */
  boost::asio::awaitable<void> WriteResponse(
    const BackendConnection::Head& aHead,
    std::string_view aBody);

  /** Prepares the head of a stream; it is sent with the first bytes. */
  void BeginStream(const BackendConnection::Head& aHead);
  /** Sends part of a stream. @returns false if the caller has disconnected. */
  boost::asio::awaitable<bool> WriteStreamData(std::string_view aPart);
  /** Sends the end of a complete stream. */
  boost::asio::awaitable<void> EndStream();

  /** @returns whether any byte of a response was sent. */
  bool HasStarted() const { return hasStarted_; }
  /** @returns whether the connection can be used for another request. */
  bool KeepsAlive() const { return keepAlive_; }
  /** Closes the connection after this response. */
  void CloseAfterResponse() { keepAlive_ = false; }
  /** Closes the connection without the rest of this response. */
  void CutResponse()
  {
    isCut_ = true;
    keepAlive_ = false;
  }
  /** @returns whether the response was left without its end. */
  bool IsCut() const { return isCut_; }

private:
  /**
   * Copies the head without hop-by-hop headers and adds a framing header.
   * @param aFramingName `Content-Length`, `Transfer-Encoding` or empty.
   */
  std::string BuildResponseHead(const BackendConnection::Head& aHead,
                                std::string_view aFramingName,
                                std::string_view aFramingValue);
  /** Announces the close of the connection, if this response is its last. */
  void AddConnectionHeader(AnswerHead& aHead);
  boost::asio::awaitable<bool> Write(std::string_view aFirst,
                                     std::string_view aSecond,
                                     std::string_view aThird);

  ForwardServices& services_;
  ForwardContext& context_;
  CallerChannel& caller_;
  /** Head of a stream of which nothing has been sent yet. */
  std::string pendingHead_;
  bool isChunked_;
  bool keepAlive_;
  bool hasStarted_ = false;
  bool isCut_ = false;
};

} // namespace azurecross

#pragma once

#include "ForwardContext.h"
#include "ForwardServices.h"

#include <azurecross_gateway/azurecross_gateway.h>

#include <boost/asio/awaitable.hpp>

#include <string>
#include <string_view>

namespace azurecross {

/** Writes the answer to one request: whole, as a stream, or a failure. */
class ResponseWriter
{
public:
  ResponseWriter(ForwardServices& aServices,
                 ForwardContext& aContext,
                 CallerChannel& aCaller);

  /** Sends a failure of this daemon. */
  boost::asio::awaitable<void> WriteError(const Error& aError);

  /** Sends a backend server's answer unchanged. */
  boost::asio::awaitable<void> WriteWhole(const BackendConnection::Head& aHead,
                                          std::string_view aBody);

  /** Keeps the head of a stream until its first bytes. */
  void BeginStream(const BackendConnection::Head& aHead);
  /** Sends bytes of a stream. @returns false when the caller is gone. */
  boost::asio::awaitable<bool> WritePart(std::string_view aPart);
  /** Ends a stream that is complete. */
  boost::asio::awaitable<void> EndStream();

  /** @returns whether the caller has been sent any byte of an answer. */
  bool HasBegun() const { return hasBegun_; }
  /** @returns whether another request may follow on the connection. */
  bool KeepsAlive() const { return keepsAlive_; }
  void CloseAfterwards() { keepsAlive_ = false; }

private:
  std::string BuildResponseHead(const BackendConnection::Head& aHead,
                                std::string_view aFramingName,
                                std::string_view aFramingValue) const;
  void AddConnection(AnswerHead& aHead) const;
  boost::asio::awaitable<bool> Write(std::string_view aFirst,
                                     std::string_view aSecond,
                                     std::string_view aThird);

  ForwardServices& services_;
  ForwardContext& context_;
  CallerChannel& caller_;
  /** The head of a stream that has not begun. */
  std::string pendingHead_;
  bool isChunked_;
  bool keepsAlive_;
  bool hasBegun_ = false;
};

} // namespace azurecross

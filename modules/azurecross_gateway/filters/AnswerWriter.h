#pragma once

#include "../backend/BackendConnection.h"
#include "../controller/Operation.h"
#include "../messages/AnswerHead.h"
#include "../relay/CallerChannel.h"
#include "RequestContext.h"
#include "WorkerServices.h"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <string_view>

namespace azurecross {

/** Writes the answer to one request, once. */
class AnswerWriter
{
public:
  AnswerWriter(RequestContext& aContext,
               CallerChannel& aCaller,
               WorkerServices& aServices);

  /** Tells the caller of a failure. */
  boost::asio::awaitable<void> WriteError(Error aError);
  /** Passes on a backend server's answer that has been read whole. */
  boost::asio::awaitable<void> WriteAnswer(const BackendConnection::Head& aHead,
                                           std::string_view aBody);
  /** Repeats the answer to an operation. */
  boost::asio::awaitable<void> WriteReplay(const OperationAnswer& aAnswer);
  /** Sends a JSON answer made here. */
  boost::asio::awaitable<void> WriteJson(unsigned aStatus, std::string aBody);

  /** @returns the head of an event stream, as text. */
  std::string BuildStreamHead();

  bool IsChunked() const { return isChunked_; }
  CallerChannel& GetCaller() { return caller_; }

  /** Offers a key for the caller's next operation in a header. */
  void OfferOperationKey(std::string aKey) { offeredKey_ = std::move(aKey); }

  /** The connection must not be used after this answer. */
  void CloseAfterwards() { keepAlive_ = false; }
  bool KeepsAlive() const { return keepAlive_; }

private:
  AnswerHead StartHead(unsigned aStatus);
  boost::asio::awaitable<void> Send(std::string aHead, std::string_view aBody);
  bool HasBody(unsigned aStatus) const;

  RequestContext& context_;
  CallerChannel& caller_;
  WorkerServices& services_;
  std::string offeredKey_;
  bool keepAlive_;
  bool isChunked_;
};

} // namespace azurecross

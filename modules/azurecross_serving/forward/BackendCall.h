#pragma once

#include "ForwardContext.h"
#include "ForwardServices.h"

#include <azurecross_gateway/azurecross_gateway.h>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>

namespace azurecross {

/**
 * Sends a request to one backend server and reads the head of the matching
 * response. The destructor closes the connection unless it was returned to the
 * pool.
 */
class BackendCall
{
public:
  BackendCall(ForwardServices& aServices, ForwardContext& aContext);
  ~BackendCall();

  BackendCall(const BackendCall&) = delete;
  BackendCall& operator=(const BackendCall&) = delete;

  /**
   * Sends the request and reads the head of the response.
   * @param aMayReuse whether an idle connection may be used.
   * @returns the failure, if any; its verdict says whether the request may have
   * run.
   */
  boost::asio::awaitable<std::optional<Error>>
  Start(const SendOptions& aOptions, bool aMayReuse, Time aDeadline);

  /** Reads the rest of the response. @returns the body. */
  boost::asio::awaitable<AsyncResult<std::string>> ReadBody(Time aDeadline);

  const ResponseInfo& GetResponseInfo() const { return info_; }
  /** @returns whether the response belongs to the request. On a connection that
   * has carried other requests, a response without an id may be bytes that
   * belong to none. */
  bool IsResponseAttributed() const
  {
    return info_.isIdentified_ || !isReused_;
  }
  /** @returns whether the response proves that the request has not run. */
  bool IsRejected() const
  {
    return IsResponseAttributed() &&
           (info_.isNotExecuted_ || info_.isFromOtherServer_);
  }
  const BackendConnection::Head& GetHead() const
  {
    return connection_->GetHead();
  }
  BackendConnection& GetConnection() { return *connection_; }

  /** Closes the connection; pending operations fail with `Cancelled`. */
  void Cancel();
  /** Returns the connection to the pool if it can be reused. */
  void ReturnToPool();

private:
  boost::asio::awaitable<std::optional<Error>> Connect(
    const SendOptions& aOptions,
    Time aDeadline);
  boost::asio::awaitable<std::optional<Error>> SendAndReadHead(
    const SendOptions& aOptions,
    Time aDeadline);
  /** Skips late responses to earlier requests on the connection. */
  boost::asio::awaitable<std::optional<Error>> SkipStaleResponses(
    Time aDeadline);
  /** Records what the response states about the server itself. */
  void RecordStatements(const BackendServerId& aServer, Time aSentAt);
  /** Logs a response that states that the request has not run. */
  void LogRejection(const BackendServerId& aServer);
  bool IsHeadRequest() const;

  ForwardServices& services_;
  ForwardContext& context_;
  std::unique_ptr<BackendConnection> connection_;
  /** Whether the connection has carried other requests. */
  bool isReused_ = false;
  ResponseInfo info_;
};

} // namespace azurecross

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
 * Puts a request to one backend server and reads the head of the answer that
 * belongs to it. Closes the connection unless the answer was read whole.
 */
class BackendCall
{
public:
  BackendCall(ForwardServices& aServices, ForwardContext& aContext);
  ~BackendCall();

  BackendCall(const BackendCall&) = delete;
  BackendCall& operator=(const BackendCall&) = delete;

  /**
   * Sends the request and reads the head.
   * @param aMayReuse whether an idle connection may be used.
   * @returns the failure, if any; its verdict says whether the request may
   * have run.
   */
  boost::asio::awaitable<std::optional<Error>> Start(const SendOptions& aPlan,
                                                     bool aMayReuse,
                                                     Time aDeadline);

  /** Reads the rest of the answer; @returns the body. */
  boost::asio::awaitable<AsyncResult<std::string>> ReadBody(Time aDeadline);

  const ResponseInfo& GetInfo() const { return info_; }
  const BackendConnection::Head& GetHead() const
  {
    return connection_->GetHead();
  }
  BackendConnection& GetConnection() { return *connection_; }

  /** Closes the connection; what waits on it fails with `Cancelled`. */
  void Cancel();
  /** Keeps the connection for other requests if it can be used again. */
  void GiveBack();

private:
  boost::asio::awaitable<std::optional<Error>> Connect(const SendOptions& aPlan,
                                                       Time aDeadline);
  boost::asio::awaitable<std::optional<Error>> Exchange(
    const SendOptions& aPlan,
    Time aDeadline);
  /** Passes over answers to other requests that the server sent late. */
  boost::asio::awaitable<std::optional<Error>> FindAnswer(Time aDeadline);
  bool IsHeadRequest() const;

  ForwardServices& services_;
  ForwardContext& context_;
  std::unique_ptr<BackendConnection> connection_;
  ResponseInfo info_;
};

} // namespace azurecross

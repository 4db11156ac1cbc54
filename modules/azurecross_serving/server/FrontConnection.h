#pragma once

#include "../forward/ForwardServices.h"

#include <azurecross_gateway/azurecross_gateway.h>

#include <boost/asio/awaitable.hpp>
#include <boost/intrusive/list.hpp>

#include <functional>
#include <memory>

namespace azurecross {

class ForwardPipeline;

/** A caller's connection: forwards its requests one after another. */
class FrontConnection
  : public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  FrontConnection(WorkerSocket aSocket, ForwardServices& aServices);
  ~FrontConnection();

  FrontConnection(const FrontConnection&) = delete;
  FrontConnection& operator=(const FrontConnection&) = delete;

  /** Serves requests until the connection closes. */
  boost::asio::awaitable<void> Run();

  /** Closes the connection if it has been without a request, read or unread,
   * for this time. */
  void CloseIfIdle(Duration aMinIdleTime);
  /** Refuses a request that still waits for a backend server and would outlast
   * the daemon's shutdown. */
  void RefuseIfOutlastsShutdown();
  /** Refuses a request that is in progress or incomplete. A stream that has
   * begun is cut. */
  void EndRequest();
  /** Cancels a request in progress and closes the connection. */
  void Close();
  /** Counts the end of a connection, and logs it if it had bytes of an
   * unanswered request or was not the caller's doing. */
  static void RecordClose(ForwardServices& aServices,
                          const ConnectionClose& aClose);
  /** @returns whether a request is in progress. */
  bool IsBusy() const { return isBusy_; }
  /** @returns whether requests may still be served. */
  bool IsOpen() const { return isOpen_; }

private:
  /**
   * Reads and forwards one request.
   * @returns whether the connection can be used for another request.
   */
  boost::asio::awaitable<bool> ServeRequest();
  /** Sends an error in response to a request that could not be read. */
  boost::asio::awaitable<void> RejectRequest(Error aError);

  ForwardServices& services_;
  std::shared_ptr<CallerChannel> channel_;
  /** Cancels the request in progress; empty if there is none. */
  std::function<void()> onDisconnect_;
  /** The request in progress, if there is one. */
  ForwardPipeline* pipeline_ = nullptr;
  bool isBusy_ = false;
  bool isOpen_ = true;
};

} // namespace azurecross

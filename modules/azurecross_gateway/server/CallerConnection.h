#pragma once

#include "../filters/WorkerServices.h"
#include "../relay/CallerChannel.h"

#include <boost/asio/awaitable.hpp>
#include <boost/intrusive/list.hpp>

#include <memory>

namespace azurecross {

/**
 * One caller's connection: reads its requests and serves them one after the
 * other, so that pipelined requests are answered in order.
 */
class CallerConnection
  : public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  CallerConnection(WorkerSocket aSocket, WorkerServices& aServices);
  ~CallerConnection();

  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /** Serves until the connection ends. */
  boost::asio::awaitable<void> Run();

  /**
   * Closes the connection if it waits for another request. One that has not
   * sent its first request stays: that request is on its way and gets an
   * answer.
   */
  void CloseIfIdle();
  /** Ends the connection and the request in progress. */
  void Close();

private:
  /** @returns whether the connection can be used for another request. */
  boost::asio::awaitable<bool> ServeNext();
  boost::asio::awaitable<void> RefuseRequest(Error aError);

  WorkerServices& services_;
  std::shared_ptr<CallerChannel> channel_;
  std::function<void()> leave_;
  bool hasServed_ = false;
};

} // namespace azurecross

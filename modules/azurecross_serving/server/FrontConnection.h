#pragma once

#include "../forward/ForwardServices.h"

#include <azurecross_gateway/azurecross_gateway.h>

#include <boost/asio/awaitable.hpp>
#include <boost/intrusive/list.hpp>

#include <functional>
#include <memory>

namespace azurecross {

/** One caller's connection: forwards its requests one after the other. */
class FrontConnection
  : public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  FrontConnection(WorkerSocket aSocket, ForwardServices& aServices);
  ~FrontConnection();

  FrontConnection(const FrontConnection&) = delete;
  FrontConnection& operator=(const FrontConnection&) = delete;

  /** Serves until the connection ends. */
  boost::asio::awaitable<void> Run();

  /** Closes the connection if it waits for a further request. */
  void CloseIfIdle();
  void Close();
  bool IsBusy() const { return isBusy_; }

private:
  /** @returns whether the connection can be used for another request. */
  boost::asio::awaitable<bool> ServeNext();
  boost::asio::awaitable<void> RefuseRequest(Error aError);

  ForwardServices& services_;
  std::shared_ptr<CallerChannel> channel_;
  std::function<void()> leave_;
  bool isBusy_ = false;
};

} // namespace azurecross

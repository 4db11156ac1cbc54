#pragma once

#include "LoadReport.h"

#include <azurecross_http/azurecross_http.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace azurecross {

/** A backend server to ask for its load. */
struct LoadTarget
{
  BackendServerId id_;
  SocketAddress address_;
};

/**
 * Asks engines for their load, each by a call of its own, so that one that does
 * not answer delays no other. Runs on the control thread.
 */
class LoadPoller
{
public:
  using Receiver = std::function<void(const LoadReport&)>;

  LoadPoller(boost::asio::any_io_executor aExecutor, Receiver aReceiver);

  /** Asks all targets that have answered, or failed, since they were asked. */
  void Poll(const std::vector<LoadTarget>& aTargets);

private:
  struct State
  {
    State(const boost::asio::any_io_executor& aExecutor, Receiver aReceiver);

    HttpClient client_;
    Receiver receiver_;
    std::set<BackendServerId> asked_;
  };

  static boost::asio::awaitable<void> Ask(std::shared_ptr<State> aState,
                                          LoadTarget aTarget);

  boost::asio::any_io_executor executor_;
  std::shared_ptr<State> state_;
};

} // namespace azurecross

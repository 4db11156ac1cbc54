#pragma once

#include "../controller/ControllerAdapter.h"
#include "EntryServerCore.h"

namespace azurecross {

/**
 * Serves callers with one controller, which must outlive the server.
 *
 * @code
 * EntryServer server(controlPlane, metrics, options);
 * server.Start();
 * ...
 * server.BeginDrain([&] { done.set_value(); });
 * @endcode
 */
template<RequestController Controller>
class EntryServer
{
public:
  EntryServer(Controller& aController,
              Metrics& aMetrics,
              EntryServerOptions aOptions)
    : adapter_(aController)
    , core_(adapter_, aMetrics, std::move(aOptions))
  {
  }

  /** @see EntryServerCore */
  SocketAddress GetAddress() const { return core_.GetAddress(); }
  void Start() { core_.Start(); }
  void Stop() { core_.Stop(); }
  void BeginDrain(std::function<void()> aOnDrained)
  {
    core_.BeginDrain(std::move(aOnDrained));
  }
  std::string DescribeRunning() const { return core_.DescribeRunning(); }
  std::size_t CountRunning() const { return core_.CountRunning(); }

private:
  ControllerAdapter<Controller> adapter_;
  EntryServerCore core_;
};

} // namespace azurecross

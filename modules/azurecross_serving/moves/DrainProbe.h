#pragma once

#include "../forward/ForwardServices.h"
#include "../peers/LoadExchange.h"

#include <azurecross_http/azurecross_http.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

namespace azurecross {

/**
 * Polls engines for an upcoming shutdown while no daemon gets it from the
 * store. Otherwise an engine that is reclaimed during an outage of the store
 * would lose its generations. Each engine is polled by one daemon, which
 * informs the others.
 */
class DrainProbe
{
public:
  DrainProbe(boost::asio::io_context& aContext,
             ForwardServices& aServices,
             LoadExchange& aPeers);

  DrainProbe(const DrainProbe&) = delete;
  DrainProbe& operator=(const DrainProbe&) = delete;

  /** Starts polling. */
  void Start();

private:
  boost::asio::awaitable<void> Run();
  /**
   * @returns the engines that this daemon polls; none while the store is
   * reachable.
   */
  std::vector<ServerRecord> FindEnginesToProbe() const;
  /**
   * Requests the status of an engine; marks the engine as draining if the
   * engine reports it.
   */
  boost::asio::awaitable<void> ProbeEngine(ServerRecord aEngine);

  boost::asio::io_context& context_;
  ForwardServices& services_;
  LoadExchange& peers_;
  HttpClient client_;
};

} // namespace azurecross

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
 * Asks engines whether they go away while no daemon hears it from the store.
 * An engine that is reclaimed during an outage of the store would otherwise
 * take its generations with it. One daemon asks each engine, and tells the
 * others.
 */
class DrainProbe
{
public:
  DrainProbe(boost::asio::io_context& aContext,
             ForwardServices& aServices,
             LoadExchange& aPeers);

  DrainProbe(const DrainProbe&) = delete;
  DrainProbe& operator=(const DrainProbe&) = delete;

  void Start();

private:
  boost::asio::awaitable<void> Run();
  /** @returns the engines that this daemon asks. */
  std::vector<ServerRecord> FindEngines() const;
  boost::asio::awaitable<void> Ask(ServerRecord aEngine);

  boost::asio::io_context& context_;
  ForwardServices& services_;
  LoadExchange& peers_;
  HttpClient client_;
};

} // namespace azurecross

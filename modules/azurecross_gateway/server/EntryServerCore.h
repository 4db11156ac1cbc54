#pragma once

#include "../controller/ControllerPort.h"
#include "GatewayLimits.h"

#include <azurecross_core/azurecross_core.h>

#include <functional>
#include <memory>
#include <string>

namespace azurecross {

/** How an entry server listens. */
struct EntryServerOptions
{
  SocketAddress address_{ "0.0.0.0", 8080 };
  unsigned workers_ = 2;
  GatewayLimits limits_;
};

/** The entry server without the controller's type. @see EntryServer */
class EntryServerCore
{
public:
  /** Binds the address; throws `boost::system::system_error` if it can't. */
  EntryServerCore(ControllerPort& aController,
                  Metrics& aMetrics,
                  EntryServerOptions aOptions);
  ~EntryServerCore();

  EntryServerCore(const EntryServerCore&) = delete;
  EntryServerCore& operator=(const EntryServerCore&) = delete;

  /** @returns the bound address, with the real port if 0 was asked for. */
  SocketAddress GetAddress() const;
  void Start();
  /** Closes all connections and ends the threads. */
  void Stop();

  /**
   * Refuses new connections and requests, closes idle connections and lets
   * running requests finish. Calls the function once when none is left, on
   * the thread that ended the last one or on this one.
   */
  void BeginDrain(std::function<void()> aOnDrained);

  /** @returns the requests in progress as a JSON array. */
  std::string DescribeRunning() const;
  std::size_t CountRunning() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace azurecross

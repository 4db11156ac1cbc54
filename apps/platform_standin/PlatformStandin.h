#pragma once

#include "StandinFaults.h"
#include "StandinStore.h"

#include <azurecross_http/azurecross_http.h>
#include <azurecross_tables/azurecross_tables.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <set>

namespace azurecross {

/**
 * Stands in for the platform: the store behind etcd's JSON gateway and the VM
 * list, with fault controls for tests below `/test/`.
 *
 * Its executor must run on one thread. Keep it alive until that thread has
 * ended.
 */
class PlatformStandin
{
public:
  PlatformStandin(boost::asio::any_io_executor aExecutor,
                  const SocketAddress& aAddress);

  SocketAddress GetAddress() const { return server_.GetAddress(); }
  void Start();
  /** Any thread may call it. */
  void Stop();

private:
  using Call = boost::asio::awaitable<void>;

  Call Handle(HttpExchange& aExchange);
  Call HandleStore(HttpExchange& aExchange, std::string_view aPath);
  Call HandleWatch(HttpExchange& aExchange);
  Call SendEvents(HttpExchange& aExchange, WatchRequest aRequest);
  Call HandleVms(HttpExchange& aExchange);
  HttpResponse HandleTest(const HttpRequest& aRequest);
  HttpResponse RunStoreCall(const HttpRequest& aRequest,
                            std::string_view aPath);
  Call Delay();
  Call ExpireLeases();
  void CountCall(std::string_view aPath);
  /** Lets the waiting watches look at the store again. */
  void WakeWatches();

  boost::asio::any_io_executor executor_;
  StandinStore store_;
  StandinStore::Backup backup_;
  StandinFaults faults_;
  StandinCounts counts_;
  VmList vms_;
  std::set<boost::asio::steady_timer*> waiting_;
  /** Watches that were opened in an earlier period are dropped. */
  std::uint64_t period_ = 0;
  bool isStopped_ = false;
  boost::asio::steady_timer leaseTimer_;
  HttpServer server_;
};

} // namespace azurecross

#pragma once

#include <azurecross_http/azurecross_http.h>
#include <azurecross_tables/azurecross_tables.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace azurecross {

/** Reads the platform's list of VMs; one call each. */
class VmListClient
{
public:
  VmListClient(boost::asio::any_io_executor aExecutor,
               SocketAddress aAddress,
               HttpClientLimits aLimits = {});

  /** @returns the list as it is now, or `store_unavailable`. */
  boost::asio::awaitable<AsyncResult<VmList>> Fetch();

private:
  SocketAddress address_;
  HttpClient client_;
};

} // namespace azurecross

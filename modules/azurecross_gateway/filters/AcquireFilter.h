#pragma once

#include "RequestContext.h"
#include "WorkerServices.h"

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace azurecross {

/** Waits for a slot on a backend server. */
class AcquireFilter
{
public:
  explicit AcquireFilter(WorkerServices& aServices)
    : services_(aServices)
  {
  }

  /**
   * @param aExcluded has the backend servers that failed this request.
   * @returns the slot, or why there is none. If the caller leaves in the
   * meantime, the wait ends and the result is `Cancelled`.
   */
  boost::asio::awaitable<AsyncResult<Assignment>> Run(
    RequestContext& aContext,
    const std::vector<BackendServerId>& aExcluded) const;

private:
  static DispatchRequest BuildRequest(
    const RequestContext& aContext,
    const std::vector<BackendServerId>& aExcluded);

  WorkerServices& services_;
};

} // namespace azurecross

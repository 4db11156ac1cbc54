#pragma once

#include "RunState.h"

#include <boost/asio/awaitable.hpp>

namespace azurecross {

/** Sends streamed generations one after the other until the run is over. */
boost::asio::awaitable<void>
RunStreamCaller(RunState& aState);

/** Sends non-idempotent operations until the run is over. */
boost::asio::awaitable<void>
RunOperationCaller(RunState& aState);

} // namespace azurecross

#pragma once

#include "RunState.h"

#include <boost/asio/awaitable.hpp>

namespace azurecross {

/** Injects one or two faults at a time, drawn from the run's seed. */
boost::asio::awaitable<void>
RunFaultDriver(RunState& aState);

/** Edits a row now and then and follows it to all undisturbed entries. */
boost::asio::awaitable<void>
RunEditLoop(RunState& aState);

/** Compares the stand-ins' records with what the callers saw. */
boost::asio::awaitable<void>
CheckRecords(RunState& aState);

} // namespace azurecross

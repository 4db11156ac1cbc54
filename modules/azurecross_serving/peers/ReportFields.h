#pragma once

#include <azurecross_dispatch/azurecross_dispatch.h>

#include <boost/json.hpp>

#include <cstdint>
#include <optional>

namespace azurecross {

/** @returns the age in milliseconds. Ages above a day are sent as a day. */
std::int64_t
FormatAge(Time aTime, Time aNow);

/** @returns the time, or nothing if the value is not a valid age. */
std::optional<Time>
ParseAge(const boost::json::value& aValue, Time aNow);

/** @returns the JSON array of the limit of a server: the server, the requests
 * per second or null, the age of the statement in milliseconds. */
boost::json::array
FormatServerLimit(const ServerLimit& aLimit, Time aNow);

/** @returns the limit, or nothing if the value is not a valid limit. */
std::optional<ServerLimit>
ParseServerLimit(const boost::json::value& aValue, Time aNow);

/** @returns a cold server as JSON: requests per second, remaining time. */
boost::json::array
FormatWarmUp(const WarmUp& aWarmUp, Time aNow);

/** @returns the warm-up of a cold server, or nothing if it is malformed. */
std::optional<WarmUp>
ParseWarmUp(const boost::json::value& aValue, Time aNow);

} // namespace azurecross

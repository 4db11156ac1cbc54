#pragma once

#include <azurecross_core/azurecross_core.h>

#include <boost/json/object.hpp>

#include <string>
#include <string_view>

namespace azurecross {

/**
 * Parses a text that must be one JSON object.
 * @param aSource what the text is, for the error message.
 */
Result<boost::json::object>
ParseJsonObject(std::string_view aText, std::string_view aSource);

} // namespace azurecross

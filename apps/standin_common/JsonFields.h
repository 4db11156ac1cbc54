#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azurecross {

/** @returns the object in a JSON text, or nothing if it isn't one. */
std::optional<boost::json::object>
ParseJsonObject(std::string_view aText);

/** @returns an integer field, or the default if absent or of another type. */
std::int64_t
ReadInteger(const boost::json::object& aObject,
            std::string_view aName,
            std::int64_t aDefault);

/** @returns a number field, or the default if absent or of another type. */
double
ReadNumber(const boost::json::object& aObject,
           std::string_view aName,
           double aDefault);

/** @returns a boolean field, or the default if absent or of another type. */
bool
ReadFlag(const boost::json::object& aObject,
         std::string_view aName,
         bool aDefault);

/** @returns a text field, or an empty text if absent or of another type. */
std::string
ReadText(const boost::json::object& aObject, std::string_view aName);

} // namespace azurecross

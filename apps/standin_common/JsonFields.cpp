#include "JsonFields.h"

#include <boost/json/parse.hpp>

namespace azurecross {

namespace json = boost::json;

std::optional<json::object>
ParseJsonObject(std::string_view aText)
{
  boost::system::error_code code;
  json::value value = json::parse(json::string_view(aText), code);
  if (code || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

std::int64_t
ReadInteger(const json::object& aObject,
            std::string_view aName,
            std::int64_t aDefault)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_number()) {
    return aDefault;
  }
  boost::system::error_code code;
  const auto number = value->to_number<std::int64_t>(code);
  return code ? aDefault : number;
}

double
ReadNumber(const json::object& aObject, std::string_view aName, double aDefault)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_number()) {
    return aDefault;
  }
  return value->to_number<double>();
}

bool
ReadFlag(const json::object& aObject, std::string_view aName, bool aDefault)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_bool()) {
    return aDefault;
  }
  return value->get_bool();
}

std::string
ReadText(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  return std::string(value->get_string());
}

} // namespace azurecross

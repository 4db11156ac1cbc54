#include "JsonText.h"

#include "TableProblem.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace azurecross {

Result<boost::json::object>
ParseJsonObject(std::string_view aText, std::string_view aSource)
{
  boost::json::error_code code;
  boost::json::value value = boost::json::parse(
    boost::json::string_view(aText.data(), aText.size()), code);
  if (code) {
    return MakeFailure(MakeTablesError(
      { { std::string(aSource), "is not valid JSON: " + code.message() } }));
  }
  if (!value.is_object()) {
    return MakeFailure(
      MakeTablesError({ { std::string(aSource), "must be a JSON object" } }));
  }
  return std::move(value.get_object());
}

} // namespace azurecross

#include "RowEdit.h"

#include <azurecross_tables/codec/JsonText.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace azurecross {

namespace json = boost::json;

std::optional<RowName>
ParseRowArgument(const std::string& aArgument)
{
  const std::size_t slash = aArgument.find('/');
  const auto table =
    kTableKindNames.FindValue(std::string_view(aArgument).substr(0, slash));
  if (!table || slash == std::string::npos || slash + 1 == aArgument.size()) {
    return std::nullopt;
  }
  return RowName{ *table, aArgument.substr(slash + 1) };
}

Result<RowChange>
EditRow(const RowName& aRow,
        const std::optional<std::string>& aText,
        const std::vector<std::string>& aFields)
{
  const std::string row = FormatRowName(aRow.table_, aRow.name_);
  json::object object;
  if (aText) {
    BOOST_LEAF_ASSIGN(object, ParseJsonObject(*aText, row));
  }
  object["name"] = aRow.name_;
  for (const std::string& field : aFields) {
    const std::size_t equals = field.find('=');
    if (equals == std::string::npos || equals == 0) {
      return MakeFailure(ErrorCode::InvalidRequest,
                         Verdict::NotRun,
                         "'" + field + "' is not of the form field=value");
    }
    const std::string name = field.substr(0, equals);
    const std::string text = field.substr(equals + 1);
    if (text.empty()) {
      object.erase(name);
      continue;
    }
    json::error_code code;
    const json::value value = json::parse(text, code);
    object[name] = code ? json::value(text) : value;
  }
  return RowChange{ aRow.table_, aRow.name_, json::serialize(object) };
}

std::vector<RowChange>
MakeDocumentChanges(const TableRows& aRows,
                    const TableDocument& aDocument,
                    bool aPrunes)
{
  const TableRows wanted = MakeRows(aDocument);
  if (aPrunes) {
    return aRows.ComputeChanges(wanted);
  }
  return wanted.ListRows();
}

} // namespace azurecross

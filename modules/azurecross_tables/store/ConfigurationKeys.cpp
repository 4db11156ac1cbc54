#include "ConfigurationKeys.h"

namespace azurecross {

namespace {

// As many as the largest 64-bit number has.
constexpr std::size_t kRevisionDigits = 19;

} // namespace

std::string
MakeTablePrefix(TableKind aTable)
{
  return std::string(kConfigurationPrefix) +
         std::string(kTableKindNames.FindName(aTable)) + "/";
}

std::string
MakeRowKey(TableKind aTable, std::string_view aName)
{
  return MakeTablePrefix(aTable) + std::string(aName);
}

std::string
MakeAuditKey(std::int64_t aRevision)
{
  const std::string digits = std::to_string(aRevision);
  return std::string(kAuditPrefix) +
         std::string(kRevisionDigits - digits.size(), '0') + digits;
}

std::string
MakeRangeEnd(std::string_view aPrefix)
{
  std::string end(aPrefix);
  while (!end.empty() && end.back() == '\xff') {
    end.pop_back();
  }
  if (end.empty()) {
    // The store's notation for the end of the key space.
    return std::string(1, '\0');
  }
  end.back() = static_cast<char>(end.back() + 1);
  return end;
}

std::optional<RowName>
ParseRowKey(std::string_view aKey)
{
  for (const TableKind table : { TableKind::Routes, TableKind::Pools }) {
    const std::string prefix = MakeTablePrefix(table);
    if (aKey.starts_with(prefix)) {
      return RowName{ table, std::string(aKey.substr(prefix.size())) };
    }
  }
  return std::nullopt;
}

} // namespace azurecross

#include "TableRows.h"

namespace azurecross {

namespace {

std::uint64_t
HashRow(TableKind aTable, const std::string& aName, const std::string& aText)
{
  return HashBytes(aText, HashBytes(FormatRowName(aTable, aName)));
}

Result<Route>
Parse(const std::string& aName, const std::string& aText, const Route*)
{
  return ParseRoute(aName, aText);
}

Result<Pool>
Parse(const std::string& aName, const std::string& aText, const Pool*)
{
  return ParsePool(aName, aText);
}

template<typename Row>
std::shared_ptr<const StoredRow<Row>>
DecodeRow(TableKind aTable, const std::string& aName, const std::string& aText)
{
  auto stored = std::make_shared<StoredRow<Row>>();
  stored->text_ = aText;
  auto row = CaptureResult(
    [&] { return Parse(aName, aText, static_cast<const Row*>(nullptr)); });
  if (row.has_value()) {
    stored->row_ = std::make_shared<const Row>(std::move(*row));
  } else {
    // The row's name is stated with the problem by whoever reports it.
    const std::string label = FormatRowName(aTable, aName) + ": ";
    const std::string& message = row.error().message_;
    stored->problem_ =
      message.starts_with(label) ? message.substr(label.size()) : message;
  }
  return stored;
}

/** Sets or deletes a row and @returns the digest after it. */
template<typename Row>
std::uint64_t
ApplyTo(TableRows::Map<Row>& aRows,
        const RowChange& aChange,
        std::uint64_t aDigest)
{
  const auto found = aRows.find(aChange.name_);
  if (found != aRows.end()) {
    aDigest -= HashRow(aChange.table_, aChange.name_, found->second->text_);
    aRows.erase(found);
  }
  if (aChange.value_) {
    aDigest += HashRow(aChange.table_, aChange.name_, *aChange.value_);
    aRows.emplace(
      aChange.name_,
      DecodeRow<Row>(aChange.table_, aChange.name_, *aChange.value_));
  }
  return aDigest;
}

template<typename Row>
void
AppendChanges(TableKind aTable,
              const TableRows::Map<Row>& aFrom,
              const TableRows::Map<Row>& aTo,
              std::vector<RowChange>& aChanges)
{
  for (const auto& [name, row] : aFrom) {
    if (!aTo.contains(name)) {
      aChanges.push_back({ aTable, name, std::nullopt });
    }
  }
  for (const auto& [name, row] : aTo) {
    const auto found = aFrom.find(name);
    if (found == aFrom.end() || found->second->text_ != row->text_) {
      aChanges.push_back({ aTable, name, row->text_ });
    }
  }
}

template<typename Row>
std::optional<std::string>
FindIn(const TableRows::Map<Row>& aRows, const std::string& aName)
{
  const auto found = aRows.find(aName);
  if (found == aRows.end()) {
    return std::nullopt;
  }
  return found->second->text_;
}

} // namespace

void
TableRows::Apply(const RowChange& aChange)
{
  digest_ = aChange.table_ == TableKind::Routes
              ? ApplyTo(routes_, aChange, digest_)
              : ApplyTo(pools_, aChange, digest_);
}

void
TableRows::Apply(const std::vector<RowChange>& aChanges)
{
  for (const RowChange& change : aChanges) {
    Apply(change);
  }
}

std::optional<std::string>
TableRows::FindText(TableKind aTable, const std::string& aName) const
{
  return aTable == TableKind::Routes ? FindIn(routes_, aName)
                                     : FindIn(pools_, aName);
}

std::vector<RowChange>
TableRows::ComputeChanges(const TableRows& aOther) const
{
  std::vector<RowChange> changes;
  AppendChanges(TableKind::Routes, routes_, aOther.routes_, changes);
  AppendChanges(TableKind::Pools, pools_, aOther.pools_, changes);
  return changes;
}

std::vector<RowChange>
TableRows::ListRows() const
{
  return TableRows().ComputeChanges(*this);
}

bool
operator==(const TableRows& aLeft, const TableRows& aRight)
{
  return aLeft.digest_ == aRight.digest_ &&
         aLeft.ComputeChanges(aRight).empty();
}

TableRows
MakeRows(const TableDocument& aDocument)
{
  TableRows rows;
  for (const Route& route : aDocument.routes_) {
    rows.Apply(
      { TableKind::Routes, route.name_.GetValue(), SerializeRoute(route) });
  }
  for (const Pool& pool : aDocument.pools_) {
    rows.Apply(
      { TableKind::Pools, pool.name_.GetValue(), SerializePool(pool) });
  }
  return rows;
}

} // namespace azurecross

#include "TableUpdate.h"

#include "../codec/FieldReader.h"
#include "../codec/JsonText.h"
#include "../revisions/RevisionJson.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace azurecross {

namespace {

namespace json = boost::json;

json::array
EncodeChanges(const std::vector<RowChange>& aChanges)
{
  json::array changes;
  for (const RowChange& change : aChanges) {
    const std::string_view table = kTableKindNames.FindName(change.table_);
    json::object object;
    object["table"] = json::string_view(table.data(), table.size());
    object["name"] = change.name_;
    if (change.value_) {
      object["value"] = *change.value_;
    }
    changes.emplace_back(std::move(object));
  }
  return changes;
}

std::vector<RowChange>
DecodeChanges(FieldReader& aReader, TableProblems& aProblems)
{
  std::vector<RowChange> changes;
  for (const json::object* object : aReader.ReadObjects("changes")) {
    FieldReader reader(*object, "change", aProblems);
    RowChange change;
    change.table_ =
      reader.ReadChoice("table", kTableKindNames, TableKind::Routes);
    change.name_ = reader.ReadRequiredText("name");
    if (object->contains("value")) {
      change.value_ = reader.ReadText("value", "");
    }
    reader.Finish();
    changes.push_back(std::move(change));
  }
  return changes;
}

TableRevision
DecodeHead(FieldReader& aReader,
           const json::object& aObject,
           TableProblems& aProblems)
{
  const json::value* head = aObject.if_contains("head");
  if (head == nullptr || !head->is_object()) {
    aReader.AddProblem("head", "must be an object");
    return {};
  }
  return DecodeRevision(head->get_object(), "head", aProblems);
}

json::object
EncodeDelta(const TableDelta& aDelta)
{
  json::object object;
  object["base"] = aDelta.baseNumber_;
  object["base_edit_id"] = aDelta.baseEditId_;
  object["head"] = EncodeRevision(aDelta.revision_);
  object["changes"] = EncodeChanges(aDelta.changes_);
  return object;
}

TableDelta
DecodeDelta(const json::object& aObject, TableProblems& aProblems)
{
  FieldReader reader(aObject, "delta", aProblems);
  TableDelta delta;
  delta.baseNumber_ = reader.ReadInteger("base", 0, 0, INT64_MAX);
  delta.baseEditId_ = reader.ReadRequiredText("base_edit_id");
  delta.revision_ = DecodeHead(reader, aObject, aProblems);
  delta.changes_ = DecodeChanges(reader, aProblems);
  return delta;
}

json::object
EncodeSnapshot(const TableSnapshot& aSnapshot)
{
  json::object object;
  object["head"] = EncodeRevision(aSnapshot.revision_);
  object["changes"] = EncodeChanges(aSnapshot.rows_.ListRows());
  if (aSnapshot.ancestor_) {
    object["ancestor"] = EncodeRevision(*aSnapshot.ancestor_);
  }
  return object;
}

TableSnapshot
DecodeSnapshot(const json::object& aObject, TableProblems& aProblems)
{
  FieldReader reader(aObject, "snapshot", aProblems);
  TableSnapshot snapshot;
  snapshot.revision_ = DecodeHead(reader, aObject, aProblems);
  snapshot.rows_.Apply(DecodeChanges(reader, aProblems));
  const json::value* ancestor = aObject.if_contains("ancestor");
  if (ancestor != nullptr && ancestor->is_object()) {
    snapshot.ancestor_ =
      DecodeRevision(ancestor->get_object(), "ancestor", aProblems);
  }
  return snapshot;
}

} // namespace

std::string
SerializeTableUpdate(const TableUpdate& aUpdate)
{
  json::object object;
  if (const auto* snapshot = std::get_if<TableSnapshot>(&aUpdate)) {
    object["snapshot"] = EncodeSnapshot(*snapshot);
  } else {
    json::array deltas;
    for (const TableDelta& delta : std::get<std::vector<TableDelta>>(aUpdate)) {
      deltas.emplace_back(EncodeDelta(delta));
    }
    object["deltas"] = std::move(deltas);
  }
  return json::serialize(object);
}

Result<TableUpdate>
ParseTableUpdate(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(object, ParseJsonObject(aBytes, "table update"));
  TableProblems problems;
  TableUpdate update;
  const json::value* snapshot = object.if_contains("snapshot");
  if (snapshot != nullptr && snapshot->is_object()) {
    update = DecodeSnapshot(snapshot->get_object(), problems);
  } else {
    FieldReader reader(object, "table update", problems);
    std::vector<TableDelta> deltas;
    for (const json::object* delta : reader.ReadObjects("deltas")) {
      deltas.push_back(DecodeDelta(*delta, problems));
    }
    reader.Finish();
    update = std::move(deltas);
  }
  if (!problems.empty()) {
    return MakeFailure(MakeTablesError(problems));
  }
  return update;
}

} // namespace azurecross

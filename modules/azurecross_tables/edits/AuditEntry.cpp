#include "AuditEntry.h"

#include "../codec/FieldReader.h"
#include "../codec/JsonText.h"
#include "../revisions/RevisionJson.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <set>

namespace azurecross {

namespace {

namespace json = boost::json;

json::value
EncodeText(const std::optional<std::string>& aText)
{
  return aText ? json::value(*aText) : json::value(nullptr);
}

/** Leaves a row out if it is null, which the strict reader does not allow. */
std::optional<std::string>
DecodeText(FieldReader& aReader,
           const json::object& aObject,
           std::string_view aName)
{
  const json::value* value =
    aObject.if_contains(json::string_view(aName.data(), aName.size()));
  if (value == nullptr || value->is_null()) {
    return std::nullopt;
  }
  return aReader.ReadText(aName, "");
}

AuditChange
DecodeChange(const json::object& aObject, TableProblems& aProblems)
{
  FieldReader reader(aObject, "audit entry", aProblems);
  AuditChange change;
  change.table_ =
    reader.ReadChoice("table", kTableKindNames, TableKind::Routes);
  change.name_ = reader.ReadRequiredText("name");
  change.old_ = DecodeText(reader, aObject, "old");
  change.new_ = DecodeText(reader, aObject, "new");
  return change;
}

json::object
ParseFields(const std::optional<std::string>& aText)
{
  json::error_code code;
  json::value value = json::parse(aText.value_or("{}"), code);
  return !code && value.is_object() ? value.get_object() : json::object();
}

/** @returns each field that differs, as `field: old -> new`. */
std::string
DescribeFields(const AuditChange& aChange)
{
  const json::object before = ParseFields(aChange.old_);
  const json::object after = ParseFields(aChange.new_);
  std::string text;
  const auto append = [&](json::string_view aName) {
    const json::value* was = before.if_contains(aName);
    const json::value* is = after.if_contains(aName);
    if (was != nullptr && is != nullptr && *was == *is) {
      return;
    }
    text += (text.empty() ? "" : ", ") +
            std::string(aName.data(), aName.size()) + ": " +
            (was == nullptr ? "none" : json::serialize(*was)) + " -> " +
            (is == nullptr ? "none" : json::serialize(*is));
  };
  for (const auto& field : before) {
    append(field.key());
  }
  for (const auto& field : after) {
    if (!before.contains(field.key())) {
      append(field.key());
    }
  }
  return text;
}

} // namespace

Result<AuditEntry>
ParseAuditEntry(std::string_view aText)
{
  BOOST_LEAF_AUTO(object, ParseJsonObject(aText, "audit entry"));
  TableProblems problems;
  FieldReader reader(object, "audit entry", problems);
  AuditEntry entry;
  entry.author_ = reader.ReadRequiredText("author");
  entry.unixMilliseconds_ = reader.ReadInteger("unix_ms", 0, 0, INT64_MAX);
  for (const json::object* change : reader.ReadObjects("changes")) {
    entry.changes_.push_back(DecodeChange(*change, problems));
  }
  const json::value* revision = object.if_contains("head");
  if (revision == nullptr || !revision->is_object()) {
    reader.AddProblem("head", "must be an object");
  } else {
    entry.revision_ =
      DecodeRevision(revision->get_object(), "audit entry", problems);
  }
  if (!problems.empty()) {
    return MakeFailure(MakeTablesError(problems));
  }
  return entry;
}

std::string
SerializeAuditEntry(const AuditEntry& aEntry)
{
  json::array changes;
  for (const AuditChange& change : aEntry.changes_) {
    const std::string_view table = kTableKindNames.FindName(change.table_);
    json::object object;
    object["table"] = json::string_view(table.data(), table.size());
    object["name"] = change.name_;
    object["old"] = EncodeText(change.old_);
    object["new"] = EncodeText(change.new_);
    changes.emplace_back(std::move(object));
  }
  json::object object;
  object["head"] = EncodeRevision(aEntry.revision_);
  object["author"] = aEntry.author_;
  object["unix_ms"] = aEntry.unixMilliseconds_;
  object["changes"] = std::move(changes);
  return json::serialize(object);
}

std::string
DescribeChanges(const std::vector<AuditChange>& aChanges)
{
  std::string text;
  for (const AuditChange& change : aChanges) {
    const std::string row = FormatRowName(change.table_, change.name_);
    if (!change.old_) {
      text += "+ " + row + " " + change.new_.value_or("") + "\n";
    } else if (!change.new_) {
      text += "- " + row + " " + *change.old_ + "\n";
    } else {
      text += "~ " + row + " " + DescribeFields(change) + "\n";
    }
  }
  return text;
}

} // namespace azurecross

#include "TableCodec.h"

#include "FieldReader.h"
#include "JsonText.h"
#include "RowChecks.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <set>

namespace azurecross {

namespace {

namespace json = boost::json;

template<typename Id>
std::vector<Id>
ConvertNames(std::vector<std::string> aTexts)
{
  std::vector<Id> names;
  names.reserve(aTexts.size());
  for (std::string& text : aTexts) {
    names.emplace_back(std::move(text));
  }
  return names;
}

template<typename Id>
json::array
MakeArray(const std::vector<Id>& aNames)
{
  json::array array;
  for (const Id& name : aNames) {
    if constexpr (std::is_same_v<Id, std::string>) {
      array.emplace_back(name);
    } else {
      array.emplace_back(name.GetValue());
    }
  }
  return array;
}

json::string_view
ToJson(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

Route
DecodeRoute(const json::object& aObject,
            const std::string& aRow,
            TableProblems& aProblems)
{
  FieldReader reader(aObject, aRow, aProblems);
  Route route;
  route.name_ = RouteName(reader.ReadRequiredText("name"));
  route.kind_ = reader.ReadChoice("kind", kRouteKindNames, route.kind_);
  route.pathPrefix_ = reader.ReadText("path_prefix", route.pathPrefix_);
  route.methods_ = reader.ReadTexts("methods");
  route.models_ = ConvertNames<ModelName>(reader.ReadTexts("models"));
  route.customers_ = ConvertNames<CustomerId>(reader.ReadTexts("customers"));
  route.pool_ = PoolName(reader.ReadRequiredText("pool"));
  route.rank_ = reader.ReadChoice("rank", kRankNames, route.rank_);
  route.idempotent_ =
    reader.ReadChoice("idempotent", kIdempotencyNames, route.idempotent_);
  route.deadline_ =
    std::chrono::milliseconds(reader.ReadInteger("deadline_ms",
                                                 route.deadline_.count(),
                                                 kLeastDeadline.count(),
                                                 kMostDeadline.count()));
  route.priorityOrder_ = reader.ReadInteger(
    "priority_order", route.priorityOrder_, 0, kMostPriorityOrder);
  reader.Finish();
  CheckRoute(route, aRow, aProblems);
  return route;
}

StaticBackendServer
DecodeBackendServer(const json::object& aObject,
                    const std::string& aRow,
                    TableProblems& aProblems)
{
  FieldReader reader(aObject, aRow + "/backend_servers", aProblems);
  StaticBackendServer server;
  server.id_ = BackendServerId(reader.ReadRequiredText("id"));
  server.address_ = reader.ReadAddress("address");
  server.availabilityZone_ =
    AvailabilityZone(reader.ReadRequiredText("availability_zone"));
  reader.Finish();
  return server;
}

Pool
DecodePool(const json::object& aObject,
           const std::string& aRow,
           TableProblems& aProblems)
{
  FieldReader reader(aObject, aRow, aProblems);
  Pool pool;
  pool.name_ = PoolName(reader.ReadRequiredText("name"));
  pool.kind_ = reader.ReadChoice("kind", kPoolKindNames, pool.kind_);
  pool.group_ = reader.ReadText("group", "");
  for (const json::object* entry : reader.ReadObjects("backend_servers")) {
    pool.backendServers_.push_back(
      DecodeBackendServer(*entry, aRow, aProblems));
  }
  pool.models_ = ConvertNames<ModelName>(reader.ReadTexts("models"));
  pool.adapters_ = reader.ReadTexts("adapters");
  pool.versions_ = reader.ReadTextMap("versions");
  pool.checksFencing_ = reader.ReadFlag("checks_fencing", false);
  pool.memoryTokens_ = reader.ReadInteger(
    "memory_tokens", pool.memoryTokens_, 1, kMostMemoryTokens);
  pool.maxConcurrent_ = reader.ReadInteger(
    "max_concurrent", pool.maxConcurrent_, 1, kMostMaxConcurrent);
  reader.Finish();
  CheckPool(pool, aRow, aProblems);
  return pool;
}

json::object
EncodeRoute(const Route& aRoute)
{
  json::object object;
  object["name"] = aRoute.name_.GetValue();
  object["kind"] = ToJson(kRouteKindNames.FindName(aRoute.kind_));
  object["path_prefix"] = aRoute.pathPrefix_;
  object["methods"] = MakeArray(aRoute.methods_);
  object["models"] = MakeArray(aRoute.models_);
  object["customers"] = MakeArray(aRoute.customers_);
  object["pool"] = aRoute.pool_.GetValue();
  object["rank"] = ToJson(kRankNames.FindName(aRoute.rank_));
  object["idempotent"] = ToJson(kIdempotencyNames.FindName(aRoute.idempotent_));
  object["deadline_ms"] = aRoute.deadline_.count();
  object["priority_order"] = aRoute.priorityOrder_;
  return object;
}

json::object
EncodePool(const Pool& aPool)
{
  json::array servers;
  for (const StaticBackendServer& server : aPool.backendServers_) {
    json::object entry;
    entry["id"] = server.id_.GetValue();
    entry["address"] = server.address_.Format();
    entry["availability_zone"] = server.availabilityZone_.GetValue();
    servers.emplace_back(std::move(entry));
  }
  json::object versions;
  for (const auto& [name, version] : aPool.versions_) {
    versions[name] = version;
  }
  json::object object;
  object["name"] = aPool.name_.GetValue();
  object["kind"] = ToJson(kPoolKindNames.FindName(aPool.kind_));
  object["group"] = aPool.group_;
  object["backend_servers"] = std::move(servers);
  object["models"] = MakeArray(aPool.models_);
  object["adapters"] = MakeArray(aPool.adapters_);
  object["versions"] = std::move(versions);
  object["checks_fencing"] = aPool.checksFencing_;
  object["memory_tokens"] = aPool.memoryTokens_;
  object["max_concurrent"] = aPool.maxConcurrent_;
  return object;
}

/** Parses one row with a decoder and compares its name with the key's. */
template<typename Decoder>
auto
ParseRow(std::string_view aName,
         const std::string& aRow,
         std::string_view aText,
         Decoder aDecoder)
  -> Result<
    decltype(aDecoder(json::object(), aRow, std::declval<TableProblems&>()))>
{
  BOOST_LEAF_AUTO(object, ParseJsonObject(aText, aRow));
  TableProblems problems;
  auto row = aDecoder(object, aRow, problems);
  if (problems.empty() && row.name_.GetValue() != aName) {
    problems.push_back(
      { aRow, "field 'name': '" + row.name_.GetValue() + "' is not the key" });
  }
  if (!problems.empty()) {
    return MakeFailure(MakeTablesError(problems));
  }
  return row;
}

/** @returns the row's name for messages, before the row has been decoded. */
std::string
MakeRowLabel(std::string_view aTable,
             const json::object& aObject,
             std::size_t aIndex)
{
  const json::value* name = aObject.if_contains("name");
  if (name == nullptr || !name->is_string()) {
    return std::string(aTable) + "[" + std::to_string(aIndex) + "]";
  }
  return std::string(aTable) + "/" + name->get_string().c_str();
}

template<typename Row, typename Decoder>
std::vector<Row>
DecodeRows(FieldReader& aReader,
           std::string_view aTable,
           TableProblems& aProblems,
           Decoder aDecoder)
{
  std::vector<Row> rows;
  std::set<std::string> names;
  for (const json::object* object : aReader.ReadObjects(aTable)) {
    const std::string label = MakeRowLabel(aTable, *object, rows.size());
    rows.push_back(aDecoder(*object, label, aProblems));
    if (!names.insert(rows.back().name_.GetValue()).second) {
      aProblems.push_back({ label, "the name occurs more than once" });
    }
  }
  return rows;
}

template<typename Row, typename Encoder>
std::string
JoinRows(const std::vector<Row>& aRows, Encoder aEncoder)
{
  std::string text;
  for (const Row& row : aRows) {
    text += (text.empty() ? "\n    " : ",\n    ") + aEncoder(row);
  }
  return text;
}

} // namespace

Result<Route>
ParseRoute(std::string_view aName, std::string_view aText)
{
  return ParseRow(aName, "routes/" + std::string(aName), aText, DecodeRoute);
}

Result<Pool>
ParsePool(std::string_view aName, std::string_view aText)
{
  return ParseRow(aName, "pools/" + std::string(aName), aText, DecodePool);
}

std::string
SerializeRoute(const Route& aRoute)
{
  return json::serialize(EncodeRoute(aRoute));
}

std::string
SerializePool(const Pool& aPool)
{
  return json::serialize(EncodePool(aPool));
}

Result<TableDocument>
ParseDocument(std::string_view aText)
{
  BOOST_LEAF_AUTO(object, ParseJsonObject(aText, "document"));
  TableProblems problems;
  FieldReader reader(object, "document", problems);
  TableDocument document;
  document.routes_ = DecodeRows<Route>(reader, "routes", problems, DecodeRoute);
  document.pools_ = DecodeRows<Pool>(reader, "pools", problems, DecodePool);
  if (object.contains("revision")) {
    document.revision_ = reader.ReadInteger("revision", 0, 0, INT64_MAX);
  }
  reader.Finish();
  if (!problems.empty()) {
    return MakeFailure(MakeTablesError(problems));
  }
  return document;
}

std::string
SerializeDocument(const TableDocument& aDocument)
{
  const std::string revision =
    aDocument.revision_
      ? "  \"revision\": " + std::to_string(*aDocument.revision_) + ",\n"
      : "";
  return "{\n" + revision + "  \"routes\": [" +
         JoinRows(aDocument.routes_, SerializeRoute) +
         "\n  ],\n  \"pools\": [" + JoinRows(aDocument.pools_, SerializePool) +
         "\n  ]\n}\n";
}

} // namespace azurecross

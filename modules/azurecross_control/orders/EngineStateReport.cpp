#include "EngineStateReport.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace azurecross {

namespace {

namespace json = boost::json;

boost::leaf::error_id
MakeStateFailure(const char* aProblem)
{
  return MakeFailure(ErrorCode::BackendServerFailed,
                     Verdict::NotRun,
                     std::string("engine state: ") + aProblem);
}

/** Reads an object of versions by name; a missing one is empty. */
bool
ReadVersions(const json::object& aObject,
             const char* aName,
             std::map<std::string, std::string>& aVersions)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr) {
    return true;
  }
  if (!value->is_object()) {
    return false;
  }
  for (const auto& item : value->get_object()) {
    if (!item.value().is_string()) {
      return false;
    }
    aVersions.emplace(std::string(item.key()),
                      std::string(item.value().get_string()));
  }
  return true;
}

} // namespace

Result<EngineState>
ParseEngineState(std::string_view aText)
{
  boost::system::error_code code;
  const json::value document =
    json::parse(json::string_view(aText.data(), aText.size()), code);
  if (code || !document.is_object()) {
    return MakeStateFailure("not a JSON object");
  }
  const json::object& object = document.get_object();
  EngineState state;
  if (!ReadVersions(object, "models", state.models_)) {
    return MakeStateFailure("models is not an object of versions");
  }
  if (!ReadVersions(object, "adapters", state.adapters_)) {
    return MakeStateFailure("adapters is not an object of versions");
  }
  if (const json::value* role = object.if_contains("role")) {
    if (!role->is_string()) {
      return MakeStateFailure("role is not a text");
    }
    state.role_ = std::string(role->get_string());
  }
  if (const json::value* loading = object.if_contains("loading")) {
    state.isBusy_ = loading->is_array() && !loading->get_array().empty();
  }
  return state;
}

std::string
SerializeEngineOrder(const SendEngineOrder& aOrder)
{
  return json::serialize(
    json::object{ { "fencing", aOrder.fencing_.GetValue() },
                  { "action", kOrderKindNames.FindName(aOrder.order_.kind_) },
                  { "name", aOrder.order_.name_ },
                  { "version", aOrder.order_.version_ } });
}

} // namespace azurecross

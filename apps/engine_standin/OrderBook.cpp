#include "OrderBook.h"

#include <standin_common/JsonFields.h>

namespace azurecross {

namespace json = boost::json;

namespace {

json::object
MakeObject(const std::map<std::string, std::string>& aVersions)
{
  json::object object;
  for (const auto& [name, version] : aVersions) {
    object[name] = version;
  }
  return object;
}

} // namespace

OrderBook::OrderBook(bool aChecksFencing,
                     Duration aLoadTime,
                     const std::vector<std::string>& aModels)
  : checksFencing_(aChecksFencing)
  , loadTime_(aLoadTime)
  , servesAnyModel_(aModels.empty())
{
  for (const std::string& model : aModels) {
    models_[model] = "";
  }
}

std::pair<unsigned, json::object>
OrderBook::Take(const json::object& aOrder, Time aNow)
{
  const std::int64_t fencing = ReadInteger(aOrder, "fencing", -1);
  const std::string action = ReadText(aOrder, "action");
  const std::string name = ReadText(aOrder, "name");
  const std::string version = ReadText(aOrder, "version");
  const bool isOld = fencing < highestFencing_;
  const bool isRefused = checksFencing_ && isOld;
  highestFencing_ = std::max(highestFencing_, fencing);
  record_.emplace_back(json::object{ { "fencing", fencing },
                                     { "action", action },
                                     { "name", name },
                                     { "version", version },
                                     { "old", isOld },
                                     { "refused", isRefused },
                                     { "at_ms", ReadUnixMilliseconds() } });
  if (isRefused) {
    return {
      409, { { "accepted", false }, { "highest_fencing", highestFencing_ } }
    };
  }
  Execute(action, name, version, aNow);
  return { 200,
           { { "accepted", true }, { "highest_fencing", highestFencing_ } } };
}

void
OrderBook::Execute(const std::string& aAction,
                   const std::string& aName,
                   const std::string& aVersion,
                   Time aNow)
{
  FinishLoads(aNow);
  if (aAction.starts_with("load_")) {
    loading_.push_back({ aAction, aName, aVersion, aNow + loadTime_ });
  } else if (aAction == "unload_model") {
    servesAnyModel_ = false;
    models_.erase(aName);
  } else if (aAction == "unload_adapter") {
    adapters_.erase(aName);
  } else if (aAction == "change_role") {
    role_ = aName;
  }
  FinishLoads(aNow);
}

void
OrderBook::FinishLoads(Time aNow)
{
  std::erase_if(loading_, [&](const Loading& aLoading) {
    if (aLoading.readyAt_ > aNow) {
      return false;
    }
    if (aLoading.action_ == "load_model") {
      models_[aLoading.name_] = aLoading.version_;
    } else if (aLoading.action_ == "load_adapter") {
      adapters_[aLoading.name_] = aLoading.version_;
    }
    return true;
  });
}

bool
OrderBook::HasModel(const std::string& aModel, Time aNow)
{
  FinishLoads(aNow);
  return servesAnyModel_ || models_.contains(aModel) ||
         adapters_.contains(aModel);
}

void
OrderBook::Describe(json::object& aLoad, Time aNow)
{
  FinishLoads(aNow);
  json::array loading;
  for (const Loading& load : loading_) {
    loading.emplace_back(json::string(load.name_));
  }
  aLoad["models"] = MakeObject(models_);
  aLoad["adapters"] = MakeObject(adapters_);
  aLoad["loading"] = std::move(loading);
  aLoad["role"] = role_;
  aLoad["fencing"] = highestFencing_;
}

} // namespace azurecross

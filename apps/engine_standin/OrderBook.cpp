#include "OrderBook.h"

#include <standin_common/JsonFields.h>

namespace azurecross {

namespace json = boost::json;

namespace {

json::array
MakeArray(const std::set<std::string>& aNames)
{
  return json::array(aNames.begin(), aNames.end());
}

} // namespace

OrderBook::OrderBook(bool aChecksFencing,
                     Duration aLoadTime,
                     const std::vector<std::string>& aModels)
  : checksFencing_(aChecksFencing)
  , loadTime_(aLoadTime)
  , servesAnyModel_(aModels.empty())
  , models_(aModels.begin(), aModels.end())
{
}

std::pair<unsigned, json::object>
OrderBook::Take(const json::object& aOrder, Time aNow)
{
  const std::int64_t fencing = ReadInteger(aOrder, "fencing", -1);
  const std::string action = ReadText(aOrder, "action");
  const std::string name = ReadText(aOrder, "name");
  const bool isOld = fencing < highestFencing_;
  const bool isRefused = checksFencing_ && isOld;
  highestFencing_ = std::max(highestFencing_, fencing);
  record_.emplace_back(json::object{ { "fencing", fencing },
                                     { "action", action },
                                     { "name", name },
                                     { "old", isOld },
                                     { "refused", isRefused },
                                     { "at_ms", ReadUnixMilliseconds() } });
  if (isRefused) {
    return {
      409, { { "accepted", false }, { "highest_fencing", highestFencing_ } }
    };
  }
  Execute(action, name, aNow);
  return { 200,
           { { "accepted", true }, { "highest_fencing", highestFencing_ } } };
}

void
OrderBook::Execute(const std::string& aAction,
                   const std::string& aName,
                   Time aNow)
{
  FinishLoads(aNow);
  if (aAction.starts_with("load_")) {
    loading_.push_back({ aAction, aName, aNow + loadTime_ });
  } else if (aAction == "unload_model") {
    servesAnyModel_ = false;
    models_.erase(aName);
  } else if (aAction == "unload_adapter") {
    adapters_.erase(aName);
  } else if (aAction == "set_role") {
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
      models_.insert(aLoading.name_);
    } else if (aLoading.action_ == "load_adapter") {
      adapters_.insert(aLoading.name_);
    } else {
      versions_.insert(aLoading.name_);
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
  aLoad["models"] = MakeArray(models_);
  aLoad["adapters"] = MakeArray(adapters_);
  aLoad["versions"] = MakeArray(versions_);
  aLoad["loading"] = std::move(loading);
  aLoad["role"] = role_;
  aLoad["fencing"] = highestFencing_;
}

} // namespace azurecross

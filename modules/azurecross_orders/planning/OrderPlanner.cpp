#include "OrderPlanner.h"

namespace azurecross {

namespace {

/** @returns the load that is needed to have an item, or nothing. */
std::optional<EngineOrder>
PlanLoad(OrderKind aKind,
         const std::string& aName,
         const Pool& aPool,
         const std::map<std::string, std::string>& aLoaded)
{
  const auto wanted = aPool.versions_.find(aName);
  const bool hasVersion = wanted != aPool.versions_.end();
  const auto loaded = aLoaded.find(aName);
  if (loaded != aLoaded.end() &&
      (!hasVersion || loaded->second == wanted->second)) {
    return std::nullopt;
  }
  return EngineOrder{ aKind, aName, hasVersion ? wanted->second : "" };
}

} // namespace

std::optional<EngineOrder>
PlanOrder(const Pool& aPool,
          const std::string& aRole,
          const EngineState& aState)
{
  if (!aRole.empty() && aState.role_ != aRole) {
    return EngineOrder{ OrderKind::ChangeRole, aRole, "" };
  }
  for (const ModelName& model : aPool.models_) {
    if (auto order = PlanLoad(
          OrderKind::LoadModel, model.GetValue(), aPool, aState.models_)) {
      return order;
    }
  }
  for (const std::string& adapter : aPool.adapters_) {
    if (auto order =
          PlanLoad(OrderKind::LoadAdapter, adapter, aPool, aState.adapters_)) {
      return order;
    }
  }
  return std::nullopt;
}

} // namespace azurecross

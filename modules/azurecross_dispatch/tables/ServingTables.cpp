#include "ServingTables.h"

#include <algorithm>

namespace azurecross {

ServingTables::ServingTables(Content aContent)
  : content_(std::move(aContent))
{
  for (const ServingRoute& route : content_.routes_) {
    byHost_[route.host_].push_back(&route);
  }
  for (auto& [host, routes] : byHost_) {
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [](const ServingRoute* aLeft, const ServingRoute* aRight) {
                       return aLeft->prefix_.size() > aRight->prefix_.size();
                     });
  }
  for (const ServingPool& pool : content_.pools_) {
    pools_.emplace(pool.name_, &pool);
  }
  for (const ServingCustomer& customer : content_.customers_) {
    for (const std::string& key : customer.apiKeys_) {
      byKey_.emplace(key, &customer);
    }
  }
}

const ServingRoute*
ServingTables::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto found = byHost_.find(std::string(aHost));
  if (found == byHost_.end()) {
    return nullptr;
  }
  for (const ServingRoute* route : found->second) {
    if (aPath.starts_with(route->prefix_)) {
      return route;
    }
  }
  return nullptr;
}

const ServingPool*
ServingTables::FindPool(const PoolName& aName) const
{
  const auto found = pools_.find(aName);
  return found == pools_.end() ? nullptr : found->second;
}

const ServingCustomer*
ServingTables::FindCustomer(std::string_view aApiKey) const
{
  const auto found = byKey_.find(std::string(aApiKey));
  return found == byKey_.end() ? nullptr : found->second;
}

const PoolName&
ChoosePool(const ServingRoute& aRoute, double aRandomUnit)
{
  double total = 0.0;
  for (const PoolShare& share : aRoute.pools_) {
    total += share.weight_;
  }
  double left = aRandomUnit * total;
  for (const PoolShare& share : aRoute.pools_) {
    left -= share.weight_;
    if (left < 0.0) {
      return share.pool_;
    }
  }
  return aRoute.pools_.back().pool_;
}

} // namespace azurecross

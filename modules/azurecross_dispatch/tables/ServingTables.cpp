#include "ServingTables.h"

#include <algorithm>
#include <set>

namespace azurecross {

ServingTables::ServingTables(Content aContent)
  : content_(std::move(aContent))
{
  for (const ServingRoute& route : content_.routes_) {
    routesByHost_[route.host_].push_back(&route);
  }
  for (auto& [host, routes] : routesByHost_) {
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [](const ServingRoute* aLeft, const ServingRoute* aRight) {
                       return aLeft->prefix_.size() > aRight->prefix_.size();
                     });
  }
  std::set<PoolName> resumablePools;
  for (const ServingRoute& route : content_.routes_) {
    for (const PoolShare& share : route.pools_) {
      if (route.kind_ == CallKind::Generation && route.isResumable_) {
        resumablePools.insert(share.pool_);
      }
    }
  }
  hasResumableStreams_ = !resumablePools.empty();
  for (ServingPool& pool : content_.pools_) {
    if (pool.engine_) {
      pool.engine_->pacesPrompts_ = resumablePools.contains(pool.name_);
    }
    pools_.emplace(pool.name_, &pool);
  }
  if (content_.customers_) {
    for (const ServingCustomer& customer : *content_.customers_) {
      for (const std::string& key : customer.apiKeys_) {
        customersByKey_.emplace(key, &customer);
      }
    }
  }
}

const ServingRoute*
ServingTables::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto found = routesByHost_.find(std::string(aHost));
  if (found == routesByHost_.end()) {
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
  // A request without a key has the empty one.
  const auto found = aApiKey.empty()
                       ? customersByKey_.end()
                       : customersByKey_.find(std::string(aApiKey));
  return found == customersByKey_.end() ? nullptr : found->second;
}

const PoolName&
ChoosePool(const ServingRoute& aRoute, double aRandomUnit)
{
  double total = 0.0;
  for (const PoolShare& share : aRoute.pools_) {
    total += share.weight_;
  }
  double remaining = aRandomUnit * total;
  for (const PoolShare& share : aRoute.pools_) {
    remaining -= share.weight_;
    if (remaining < 0.0) {
      return share.pool_;
    }
  }
  return aRoute.pools_.back().pool_;
}

} // namespace azurecross

#include "Tables.h"

#include <algorithm>
#include <map>

namespace azurecross {

namespace {

using Routes = std::vector<std::shared_ptr<const Route>>;
using Pools = std::vector<std::shared_ptr<const Pool>>;

template<typename Row>
std::vector<std::shared_ptr<const Row>>
CollectRows(const TableRows::Map<Row>& aRows,
            TableKind aTable,
            TableProblems& aProblems)
{
  std::vector<std::shared_ptr<const Row>> rows;
  rows.reserve(aRows.size());
  for (const auto& [name, stored] : aRows) {
    if (stored->row_) {
      rows.push_back(stored->row_);
    } else {
      aProblems.push_back({ FormatRowName(aTable, name), stored->problem_ });
    }
  }
  return rows;
}

void
CheckRoutePool(const Route& aRoute,
               const std::map<PoolName, const Pool*>& aPools,
               TableProblems& aProblems)
{
  const std::string row = "routes/" + aRoute.name_.GetValue();
  const auto found = aPools.find(aRoute.pool_);
  if (found == aPools.end()) {
    aProblems.push_back(
      { row,
        "field 'pool': there is no pool '" + aRoute.pool_.GetValue() + "'" });
    return;
  }
  const Pool& pool = *found->second;
  const bool wantsEngines = aRoute.kind_ == RouteKind::Generation;
  if (wantsEngines != (pool.kind_ == PoolKind::Engine)) {
    aProblems.push_back(
      { row,
        "field 'pool': a route of kind '" +
          std::string(kRouteKindNames.FindName(aRoute.kind_)) +
          "' can't use pool '" + pool.name_.GetValue() + "' of kind '" +
          std::string(kPoolKindNames.FindName(pool.kind_)) + "'" });
  }
  for (const ModelName& model : aRoute.models_) {
    if (std::find(pool.models_.begin(), pool.models_.end(), model) ==
        pool.models_.end()) {
      aProblems.push_back({ row,
                            "field 'models': pool '" + pool.name_.GetValue() +
                              "' does not hold model '" + model.GetValue() +
                              "'" });
    }
  }
}

/** A backend server in two pools would be given twice its capacity. */
void
CheckOwnership(const Pools& aPools, TableProblems& aProblems)
{
  std::map<BackendServerId, PoolName> servers;
  std::map<std::string, PoolName> groups;
  for (const auto& pool : aPools) {
    const std::string row = "pools/" + pool->name_.GetValue();
    for (const StaticBackendServer& server : pool->backendServers_) {
      const auto [owner, isNew] = servers.emplace(server.id_, pool->name_);
      if (!isNew && owner->second != pool->name_) {
        aProblems.push_back(
          { row,
            "field 'backend_servers': '" + server.id_.GetValue() +
              "' also belongs to pool '" + owner->second.GetValue() + "'" });
      }
    }
    if (pool->group_.empty()) {
      continue;
    }
    const auto [owner, isNew] = groups.emplace(pool->group_, pool->name_);
    if (!isNew) {
      aProblems.push_back({ row,
                            "field 'group': '" + pool->group_ +
                              "' also belongs to pool '" +
                              owner->second.GetValue() + "'" });
    }
  }
}

} // namespace

Result<Tables::Version>
Tables::Make(TableRevision aRevision, const TableRows& aRows)
{
  TableProblems problems;
  Routes routes = CollectRows(aRows.GetRoutes(), TableKind::Routes, problems);
  Pools pools = CollectRows(aRows.GetPools(), TableKind::Pools, problems);
  std::map<PoolName, const Pool*> poolsByName;
  for (const auto& pool : pools) {
    poolsByName.emplace(pool->name_, pool.get());
  }
  for (const auto& route : routes) {
    CheckRoutePool(*route, poolsByName, problems);
  }
  CheckOwnership(pools, problems);
  if (!problems.empty()) {
    return MakeFailure(MakeTablesError(problems));
  }
  return Version(
    new Tables(std::move(aRevision), std::move(routes), std::move(pools)));
}

Tables::Tables(TableRevision aRevision, Routes aRoutes, Pools aPools)
  : revision_(std::move(aRevision))
  , routes_(std::move(aRoutes))
  , pools_(std::move(aPools))
  , index_(routes_)
{
  poolsByName_.reserve(pools_.size());
  for (const auto& pool : pools_) {
    poolsByName_.emplace(pool->name_, pool.get());
  }
}

const Route*
Tables::FindRoute(std::string_view aMethod,
                  std::string_view aPath,
                  std::string_view aModel,
                  std::string_view aCustomer) const
{
  return index_.Find({ aMethod, aPath, aModel, aCustomer });
}

const Pool*
Tables::FindPool(const PoolName& aName) const
{
  const auto found = poolsByName_.find(aName);
  return found == poolsByName_.end() ? nullptr : found->second;
}

std::vector<BackendServer>
ResolveBackendServers(const Pool& aPool, const VmList& aVms)
{
  std::vector<BackendServer> servers;
  std::map<BackendServerId, std::size_t> positions;
  for (const StaticBackendServer& server : aPool.backendServers_) {
    positions.emplace(server.id_, servers.size());
    servers.push_back(
      { server.id_, server.address_, server.availabilityZone_, false });
  }
  for (const Vm& vm : aVms.vms_) {
    if (aPool.group_.empty() || vm.role_ != VmRole::Backend ||
        vm.group_ != aPool.group_) {
      continue;
    }
    const bool isLeaving = vm.state_ == VmState::Leaving;
    const auto [position, isNew] =
      positions.emplace(BackendServerId(vm.id_), servers.size());
    if (isNew) {
      servers.push_back({ BackendServerId(vm.id_),
                          vm.address_,
                          vm.availabilityZone_,
                          isLeaving });
    } else if (isLeaving) {
      servers[position->second].isLeaving_ = true;
    }
  }
  return servers;
}

} // namespace azurecross

#pragma once

#include "../revisions/TableRevision.h"
#include "../rows/Pool.h"
#include "../rows/Route.h"
#include "../rows/Vm.h"
#include "RouteIndex.h"
#include "TableRows.h"

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace azurecross {

/** A backend server of a pool, from its static list or from the VM list. */
struct BackendServer
{
  BackendServerId id_;
  SocketAddress address_;
  AvailabilityZone availabilityZone_;
  /** A leaving backend server gets no new work. */
  bool isLeaving_ = false;

  friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

/**
 * One valid revision of the routes and pools; never changes after `Make`, so
 * that workers can share it through an `RcuCell`.
 *
 * @code
 * const Route* route = tables->FindRoute(method, path, model, customer);
 * const Pool* pool = tables->FindPool(route->pool_);
 * @endcode
 */
class Tables
{
public:
  using Version = std::shared_ptr<const Tables>;

  /**
   * Checks all rows and their references: each row is valid, each route names
   * a pool of its kind that holds the route's models, and no backend server or
   * VM group belongs to two pools.
   * @returns the tables, or `invalid_tables` with each row and reason.
   */
  static Result<Version> Make(TableRevision aRevision, const TableRows& aRows);

  const TableRevision& GetRevision() const { return revision_; }

  /** @returns the routes, sorted by name. */
  const std::vector<std::shared_ptr<const Route>>& GetRoutes() const
  {
    return routes_;
  }

  /** @returns the pools, sorted by name. */
  const std::vector<std::shared_ptr<const Pool>>& GetPools() const
  {
    return pools_;
  }

  /**
   * Finds the route of a request: of those that match, the one with the lowest
   * `priority_order`, then the most specific one. @see RouteIndex
   * @param aModel empty if the request names no model.
   * @returns null if none matches; otherwise valid as long as these tables.
   */
  const Route* FindRoute(std::string_view aMethod,
                         std::string_view aPath,
                         std::string_view aModel,
                         std::string_view aCustomer) const;

  /** @returns the pool, or null; valid as long as these tables. */
  const Pool* FindPool(const PoolName& aName) const;

private:
  Tables(TableRevision aRevision,
         std::vector<std::shared_ptr<const Route>> aRoutes,
         std::vector<std::shared_ptr<const Pool>> aPools);

  TableRevision revision_;
  std::vector<std::shared_ptr<const Route>> routes_;
  std::vector<std::shared_ptr<const Pool>> pools_;
  std::unordered_map<PoolName, const Pool*> poolsByName_;
  RouteIndex index_;
};

/**
 * @returns the backend servers of a pool: its static ones, then the backend
 * VMs of its group. A VM that repeats a static id is left out, except that a
 * leaving VM marks the static backend server as leaving.
 */
std::vector<BackendServer>
ResolveBackendServers(const Pool& aPool, const VmList& aVms);

} // namespace azurecross

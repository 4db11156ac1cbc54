#pragma once

#include "../rows/Route.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace azurecross {

/** What of a request decides about its route. */
struct RouteKey
{
  std::string_view method_;
  /** The path; a query after `?` is ignored. */
  std::string_view path_;
  /** Empty if the request names no model. */
  std::string_view model_;
  std::string_view customer_;
};

/**
 * Finds the route of a request in a time that does not depend on the number of
 * routes.
 *
 * Routes are ranked once: by `priority_order`, then the longer path prefix,
 * then named customers before all customers, named models before all models,
 * named methods before all methods, then by name. Each route is filed under
 * the hash of its path prefix with each of its customers and models. A look-up
 * visits the prefixes of the path at its slashes, with and without the
 * customer and the model, and takes the best match.
 */
class RouteIndex
{
public:
  explicit RouteIndex(std::vector<std::shared_ptr<const Route>> aRoutes);

  /** @returns the route of a request, or null. */
  const Route* Find(const RouteKey& aQuery) const;

private:
  using Position = std::uint32_t;

  struct RankedRoute
  {
    const Route* route_ = nullptr;
    /** The path prefix without a slash at its end. */
    std::string_view prefix_;
    /** Sorted, for binary search. */
    std::vector<std::string_view> customers_;
    std::vector<std::string_view> models_;
  };

  void File(Position aPosition);
  void SearchPrefix(std::string_view aPrefix,
                    const RouteKey& aQuery,
                    Position& aBest) const;
  void SearchBucket(std::uint64_t aHash,
                    std::string_view aPrefix,
                    const RouteKey& aQuery,
                    Position& aBest) const;
  bool Matches(const RankedRoute& aRanked,
               std::string_view aPrefix,
               const RouteKey& aQuery) const;

  std::vector<std::shared_ptr<const Route>> routes_;
  std::vector<RankedRoute> ranked_;
  /** Positions in `ranked_`, in rising order. */
  std::unordered_map<std::uint64_t, std::vector<Position>> buckets_;
  /** Hashes of the prefixes in use; most of a path's prefixes are not. */
  std::unordered_set<std::uint64_t> prefixes_;
  /** The longest prefix in use bounds the work for a long path. */
  std::size_t longestPrefix_ = 0;
};

} // namespace azurecross

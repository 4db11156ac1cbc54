#pragma once

#include <azurecross_core/azurecross_core.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace azurecross {

/** What a route's requests are: generations, or calls of a plain service. */
enum class RouteKind
{
  Generation,
  Service,
};

inline constexpr NameTable<RouteKind, 2> kRouteKindNames{
  { { { RouteKind::Generation, "generation" },
      { RouteKind::Service, "service" } } }
};

/** Which of a route's requests may run more than once without harm. */
enum class Idempotency
{
  Never,
  /** GET, HEAD, OPTIONS, PUT and DELETE, as HTTP defines them. */
  ByMethod,
  Always,
};

inline constexpr NameTable<Idempotency, 3> kIdempotencyNames{
  { { { Idempotency::Never, "never" },
      { Idempotency::ByMethod, "by_method" },
      { Idempotency::Always, "always" } } }
};

inline constexpr std::chrono::milliseconds kDefaultDeadline{ 30'000 };
inline constexpr std::int64_t kDefaultPriorityOrder = 100;

/** A row of the routes table: which requests go to which pool, at which rank.
 */
struct Route
{
  RouteName name_;
  RouteKind kind_ = RouteKind::Generation;
  /** Matches whole path segments: `/v1` matches `/v1/x` but not `/v10`. */
  std::string pathPrefix_ = "/";
  /** Empty: all methods. */
  std::vector<std::string> methods_;
  /** Empty: all models, and requests that name none. */
  std::vector<ModelName> models_;
  /** Empty: all customers. */
  std::vector<CustomerId> customers_;
  PoolName pool_;
  Rank rank_ = Rank::Lesser;
  Idempotency idempotent_ = Idempotency::Never;
  std::chrono::milliseconds deadline_ = kDefaultDeadline;
  /** The route with the lowest number that matches is used. */
  std::int64_t priorityOrder_ = kDefaultPriorityOrder;

  friend bool operator==(const Route&, const Route&) = default;
};

/** @returns whether HTTP defines the method as idempotent. */
bool
IsIdempotentMethod(std::string_view aMethod);

/** @returns whether a request with this method may run more than once. */
bool
IsIdempotent(const Route& aRoute, std::string_view aMethod);

} // namespace azurecross

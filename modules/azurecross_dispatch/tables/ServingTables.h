#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace azurecross {

/** The kind of a route's requests, which determines whether retries are safe.
 */
enum class CallKind
{
  /** A plain call that may run more than once. */
  IdempotentCall,
  /** A plain call that runs at most once. */
  NonIdempotentCall,
  /** An event stream of a model engine; runs at most once unless the route
   * allows to resume it. */
  Generation,
};

inline constexpr NameTable<CallKind, 3> kCallKindNames{
  { { { CallKind::IdempotentCall, "idempotent_call" },
      { CallKind::NonIdempotentCall, "non_idempotent_call" },
      { CallKind::Generation, "generation" } } }
};

/** A pool that receives a share of a route's requests. */
struct PoolShare
{
  PoolName pool_;
  /** Relative to the other shares of the route. */
  double weight_ = 1.0;
};

/** The pools, priority and limits for requests to one host and path prefix. */
struct ServingRoute
{
  RouteName name_;
  std::string host_;
  /** Begins and ends with a slash. */
  std::string prefix_;
  CallKind kind_ = CallKind::NonIdempotentCall;
  /** Maximum time from arrival to the end of the answer. */
  Duration timeout_{};
  /** Target for the time to the answer or to the first event. */
  Duration latencyTarget_{};
  /** Target for the maximum time between events; 0 for none. */
  Duration gapTarget_{};
  /** 0 is the most urgent. */
  int priority_ = 0;
  std::vector<PoolShare> pools_;
  /** Maximum number of backend servers tried per request, the first included.
   */
  unsigned attemptLimit_ = 1;
  /** Whether requests are accepted without an API key. */
  bool isPublic_ = false;
  /** Whether an interrupted generation may be resumed, by its caller or on
   * another engine. */
  bool isResumable_ = false;
};

/** Capacity and capabilities of the engines of a pool. */
struct EngineTraits
{
  /** Maximum number of concurrent requests of one engine. */
  std::uint32_t slots_ = 0;
  std::uint64_t memoryTokens_ = 0;
  std::uint64_t bytesPerToken_ = 0;
  /** Bandwidth between engines for copies of a generation's KV cache. */
  double linkBitsPerSecond_ = 0.0;
  bool canMove_ = false;
  bool canBackUp_ = false;
  /** Number of tokens in one event of a stream. */
  std::uint32_t tokensPerEvent_ = 1;
  /** Whether prompts are sent at the pace at which an engine reads them, and
   * long streams avoid engines that may exceed the longest gap. Set for pools
   * with routes whose streams may be resumed. */
  bool pacesPrompts_ = false;
};

/** How the servers of a pool warm up. */
struct PoolWarmUp
{
  /** Time from the start of a server until it is warm. */
  Duration time_{};
  /** Requests per second that a cold server tolerates. */
  double requestsPerSecond_ = 0.0;
};

/** A group of backend servers. */
struct ServingPool
{
  PoolName name_;
  /** Maximum number of connections to one backend server from all callers. */
  std::uint32_t connectionLimit_ = 0;
  /** Set for model engines. */
  std::optional<EngineTraits> engine_;
  /** Set if cold servers take fewer requests. */
  std::optional<PoolWarmUp> warmUp_;
};

/** A customer with its API keys. */
struct ServingCustomer
{
  CustomerId name_;
  std::vector<std::string> apiKeys_;
  /** Takes precedence over the route's priority. */
  std::optional<int> priority_;
};

/** Size and time limits for the requests of callers. */
struct CallerLimits
{
  std::uint32_t headerBytes_ = 16 * 1024;
  std::size_t bodyBytes_ = std::size_t{ 4 } << 20;
  Duration headerTimeout_ = std::chrono::seconds(3);
  Duration idleTimeout_ = std::chrono::seconds(15);
};

/**
 * One version of the routes, pools, customers and limits, indexed for the
 * lookups of the request path. Immutable once built.
 */
class ServingTables
{
public:
  struct Content
  {
    std::uint64_t version_ = 0;
    std::vector<ServingRoute> routes_;
    std::vector<ServingPool> pools_;
    /** Without a list, no request needs an API key. With an empty list, no
     * API key is valid. */
    std::optional<std::vector<ServingCustomer>> customers_;
    CallerLimits limits_;
  };

  explicit ServingTables(Content aContent);

  std::uint64_t GetVersion() const { return content_.version_; }
  const CallerLimits& GetLimits() const { return content_.limits_; }
  const std::vector<ServingRoute>& GetRoutes() const
  {
    return content_.routes_;
  }

  /** @returns the route of the host with the longest prefix that matches the
   * path, or null. */
  const ServingRoute* FindRoute(std::string_view aHost,
                                std::string_view aPath) const;
  const ServingPool* FindPool(const PoolName& aName) const;
  /** @returns whether streams of any route may be resumed, which deployments
   * with hard load declare. */
  bool HasResumableStreams() const { return hasResumableStreams_; }

  /** @returns whether requests to non-public routes need an API key. */
  bool NeedApiKeys() const { return content_.customers_.has_value(); }
  std::size_t CountCustomers() const
  {
    return content_.customers_ ? content_.customers_->size() : 0;
  }
  const ServingCustomer* FindCustomer(std::string_view aApiKey) const;

private:
  Content content_;
  bool hasResumableStreams_ = false;
  /** Routes by host, longest prefix first. */
  std::unordered_map<std::string, std::vector<const ServingRoute*>>
    routesByHost_;
  std::unordered_map<PoolName, const ServingPool*> pools_;
  std::unordered_map<std::string, const ServingCustomer*> customersByKey_;
};

using ServingTablesPtr = std::shared_ptr<const ServingTables>;

/** Chooses a pool of the route at random, in proportion to the pool weights.
 * @param aRoute a route with at least one pool.
 * @param aRandomUnit a uniform random number in [0, 1).
 * @returns the chosen pool. */
const PoolName&
ChoosePool(const ServingRoute& aRoute, double aRandomUnit);

} // namespace azurecross

#include "TablesCheck.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace azurecross {

namespace {

/** Servers that are tried for one request at most, whatever its route allows.
 */
constexpr unsigned kMaxAttempts = 8;

using Findings = std::vector<CheckFinding>;

std::string
FormatMilliseconds(Duration aTime)
{
  return std::to_string(
           std::chrono::duration_cast<std::chrono::milliseconds>(aTime)
             .count()) +
         " ms";
}

std::string
GetName(const ServingRoute& aRoute)
{
  return "route " + aRoute.name_.GetValue();
}

std::string
GetName(const ServingPool& aPool)
{
  return "pool " + aPool.name_.GetValue();
}

std::string
GetName(const ServingCustomer& aCustomer)
{
  return "customer " + aCustomer.name_.GetValue();
}

/** Reports the names that several entries of a list have. */
template<typename Entry>
void
CheckNames(const std::vector<Entry>& aEntries, Findings& aFindings)
{
  std::set<std::string> names;
  for (const Entry& entry : aEntries) {
    if (!names.insert(GetName(entry)).second) {
      aFindings.push_back(
        { CheckLevel::Error, GetName(entry), "the name is used twice" });
    }
  }
}

void
CheckPrefix(const ServingRoute& aRoute, Findings& aFindings)
{
  const std::string& prefix = aRoute.prefix_;
  if (!prefix.starts_with('/') || !prefix.ends_with('/')) {
    aFindings.push_back(
      { CheckLevel::Error,
        GetName(aRoute),
        "the prefix \"" + prefix + "\" does not begin and end with a slash" });
  }
}

/** Reports routes that another one with the same host and prefix hides. */
void
CheckHiddenRoutes(const std::vector<ServingRoute>& aRoutes, Findings& aFindings)
{
  std::map<std::pair<std::string, std::string>, const ServingRoute*> first;
  for (const ServingRoute& route : aRoutes) {
    const auto [other, isFirst] =
      first.try_emplace({ route.host_, route.prefix_ }, &route);
    if (!isFirst) {
      aFindings.push_back({ CheckLevel::Warning,
                            GetName(route),
                            "never matches: " + GetName(*other->second) +
                              " has the same host and prefix" });
    }
  }
}

void
CheckRouteLimits(const ServingRoute& aRoute, Findings& aFindings)
{
  const auto warn = [&](std::string aMessage) {
    aFindings.push_back(
      { CheckLevel::Warning, GetName(aRoute), std::move(aMessage) });
  };
  const std::string timeout = FormatMilliseconds(aRoute.timeout_);
  if (aRoute.timeout_ <= Duration::zero()) {
    aFindings.push_back(
      { CheckLevel::Error,
        GetName(aRoute),
        "the timeout of " + timeout + " fails all requests" });
    return;
  }
  if (aRoute.latencyTarget_ > aRoute.timeout_) {
    warn("the latency target of " + FormatMilliseconds(aRoute.latencyTarget_) +
         " is above the timeout of " + timeout);
  }
  if (aRoute.gapTarget_ > aRoute.timeout_) {
    warn("the gap target of " + FormatMilliseconds(aRoute.gapTarget_) +
         " is above the timeout of " + timeout);
  }
  const bool isGeneration = aRoute.kind_ == CallKind::Generation;
  if (aRoute.gapTarget_ > Duration::zero() && !isGeneration) {
    warn("the gap target has no effect: the route is not for streams");
  }
  const bool runsOnce = aRoute.kind_ == CallKind::NonIdempotentCall ||
                        (isGeneration && !aRoute.isResumable_);
  if (aRoute.attemptLimit_ > 1 && runsOnce) {
    warn(std::to_string(aRoute.attemptLimit_) +
         " attempts have no effect: the requests run at most once");
  } else if (aRoute.attemptLimit_ > kMaxAttempts) {
    warn(std::to_string(aRoute.attemptLimit_) + " attempts are more than the " +
         std::to_string(kMaxAttempts) +
         " servers that are tried for a request");
  }
  if (aRoute.isResumable_ && !isGeneration) {
    warn("resumable has no effect: the route is not for streams");
  }
}

void
CheckRoutePools(const ServingRoute& aRoute,
                const std::map<PoolName, const ServingPool*>& aPools,
                Findings& aFindings)
{
  if (aRoute.pools_.empty()) {
    aFindings.push_back({ CheckLevel::Error,
                          GetName(aRoute),
                          "no pool with a weight above 0; all requests are "
                          "refused" });
  }
  for (const PoolShare& share : aRoute.pools_) {
    const auto pool = aPools.find(share.pool_);
    if (pool == aPools.end()) {
      aFindings.push_back({ CheckLevel::Error,
                            GetName(aRoute),
                            "there is no pool " + share.pool_.GetValue() });
    } else if (aRoute.kind_ == CallKind::Generation && !pool->second->engine_) {
      aFindings.push_back({ CheckLevel::Warning,
                            GetName(aRoute),
                            "streams are sent to " + GetName(*pool->second) +
                              ", which has no engines" });
    }
  }
}

void
CheckPools(const ServingTables::Content& aTables, Findings& aFindings)
{
  std::set<PoolName> used;
  for (const ServingRoute& route : aTables.routes_) {
    for (const PoolShare& share : route.pools_) {
      used.insert(share.pool_);
    }
  }
  for (const ServingPool& pool : aTables.pools_) {
    if (!used.contains(pool.name_)) {
      aFindings.push_back(
        { CheckLevel::Warning, GetName(pool), "no route sends to it" });
    }
    if (pool.engine_ &&
        (pool.engine_->slots_ == 0 || pool.engine_->memoryTokens_ == 0)) {
      aFindings.push_back({ CheckLevel::Error,
                            GetName(pool),
                            "the engines have no slots or no memory" });
    }
  }
}

void
CheckCustomers(const ServingTables::Content& aTables, Findings& aFindings)
{
  if (!aTables.customers_) {
    return;
  }
  CheckNames(*aTables.customers_, aFindings);
  if (aTables.customers_->empty()) {
    aFindings.push_back({ CheckLevel::Error,
                          "customers",
                          "the list is empty; no API key is valid" });
  }
  for (const ServingCustomer& customer : *aTables.customers_) {
    if (customer.apiKeys_.empty()) {
      aFindings.push_back({ CheckLevel::Warning,
                            GetName(customer),
                            "never matches: it has no API key" });
    }
  }
}

void
CheckCallerLimits(const CallerLimits& aLimits, Findings& aFindings)
{
  const auto warn = [&](std::string aMessage) {
    aFindings.push_back({ CheckLevel::Warning, "limits", std::move(aMessage) });
  };
  if (aLimits.headerBytes_ == 0 || aLimits.headerTimeout_ <= Duration::zero()) {
    aFindings.push_back({ CheckLevel::Error,
                          "limits",
                          "the limits of headers refuse all requests" });
  }
  if (aLimits.headerBytes_ > aLimits.bodyBytes_) {
    warn("headers may have " + std::to_string(aLimits.headerBytes_) +
         " bytes, bodies only " + std::to_string(aLimits.bodyBytes_));
  }
  if (aLimits.idleTimeout_ < aLimits.headerTimeout_) {
    warn("the idle timeout of " + FormatMilliseconds(aLimits.idleTimeout_) +
         " ends connections before the header timeout of " +
         FormatMilliseconds(aLimits.headerTimeout_));
  }
}

/** Adds the names of the members that differ to a text. */
class DifferenceList
{
public:
  template<typename Value>
  void Compare(const char* aName, const Value& aBefore, const Value& aAfter)
  {
    if (!(aBefore == aAfter)) {
      text_.append(text_.empty() ? "" : ", ").append(aName);
    }
  }
  const std::string& GetText() const { return text_; }

private:
  std::string text_;
};

std::map<PoolName, double>
GetWeights(const ServingRoute& aRoute)
{
  double total = 0.0;
  for (const PoolShare& share : aRoute.pools_) {
    total += share.weight_;
  }
  std::map<PoolName, double> weights;
  for (const PoolShare& share : aRoute.pools_) {
    weights[share.pool_] += share.weight_ / total;
  }
  return weights;
}

std::string
DescribeChange(const ServingRoute& aBefore, const ServingRoute& aAfter)
{
  DifferenceList changes;
  changes.Compare("host", aBefore.host_, aAfter.host_);
  changes.Compare("prefix", aBefore.prefix_, aAfter.prefix_);
  changes.Compare("kind", aBefore.kind_, aAfter.kind_);
  changes.Compare("timeout", aBefore.timeout_, aAfter.timeout_);
  changes.Compare(
    "latency target", aBefore.latencyTarget_, aAfter.latencyTarget_);
  changes.Compare("gap target", aBefore.gapTarget_, aAfter.gapTarget_);
  changes.Compare("priority", aBefore.priority_, aAfter.priority_);
  changes.Compare("attempts", aBefore.attemptLimit_, aAfter.attemptLimit_);
  changes.Compare("public", aBefore.isPublic_, aAfter.isPublic_);
  changes.Compare("resumable", aBefore.isResumable_, aAfter.isResumable_);
  changes.Compare("pools", GetWeights(aBefore), GetWeights(aAfter));
  return changes.GetText();
}

std::string
DescribeChange(const ServingPool& aBefore, const ServingPool& aAfter)
{
  DifferenceList changes;
  changes.Compare(
    "connection limit", aBefore.connectionLimit_, aAfter.connectionLimit_);
  const EngineTraits before = aBefore.engine_.value_or(EngineTraits());
  const EngineTraits after = aAfter.engine_.value_or(EngineTraits());
  changes.Compare(
    "engines", aBefore.engine_.has_value(), aAfter.engine_.has_value());
  changes.Compare("slots", before.slots_, after.slots_);
  changes.Compare("memory", before.memoryTokens_, after.memoryTokens_);
  changes.Compare("moves", before.canMove_, after.canMove_);
  const PoolWarmUp warmUpBefore = aBefore.warmUp_.value_or(PoolWarmUp());
  const PoolWarmUp warmUpAfter = aAfter.warmUp_.value_or(PoolWarmUp());
  changes.Compare("warm-up time", warmUpBefore.time_, warmUpAfter.time_);
  changes.Compare("warm-up rate",
                  warmUpBefore.requestsPerSecond_,
                  warmUpAfter.requestsPerSecond_);
  return changes.GetText();
}

std::string
DescribeChange(const ServingCustomer& aBefore, const ServingCustomer& aAfter)
{
  const std::set<std::string> before(aBefore.apiKeys_.begin(),
                                     aBefore.apiKeys_.end());
  const std::set<std::string> after(aAfter.apiKeys_.begin(),
                                    aAfter.apiKeys_.end());
  const auto countMissing = [](const auto& aKeys, const auto& aOthers) {
    return std::count_if(aKeys.begin(), aKeys.end(), [&](const auto& aKey) {
      return !aOthers.contains(aKey);
    });
  };
  DifferenceList changes;
  changes.Compare("priority", aBefore.priority_, aAfter.priority_);
  std::string text = changes.GetText();
  const auto addCount = [&text](std::ptrdiff_t aCount, const char* aChange) {
    if (aCount > 0) {
      text.append(text.empty() ? "" : ", ")
        .append(std::to_string(aCount))
        .append(aChange);
    }
  };
  addCount(countMissing(after, before), " keys added");
  addCount(countMissing(before, after), " keys removed");
  return text;
}

/** Reports the entries that were added, removed or changed, by their names. */
template<typename Entry>
void
CompareEntries(const std::vector<Entry>& aBefore,
               const std::vector<Entry>& aAfter,
               Findings& aFindings)
{
  std::map<std::string, const Entry*> before;
  for (const Entry& entry : aBefore) {
    before.emplace(GetName(entry), &entry);
  }
  for (const Entry& entry : aAfter) {
    const std::string name = GetName(entry);
    const auto known = before.find(name);
    if (known == before.end()) {
      aFindings.push_back({ CheckLevel::Change, name, "added" });
      continue;
    }
    const std::string changes = DescribeChange(*known->second, entry);
    if (!changes.empty()) {
      aFindings.push_back({ CheckLevel::Change, name, "changed: " + changes });
    }
    before.erase(known);
  }
  for (const auto& [name, entry] : before) {
    aFindings.push_back({ CheckLevel::Change, name, "removed" });
  }
}

} // namespace

std::vector<CheckFinding>
CheckTables(const ServingTables::Content& aTables)
{
  Findings findings;
  CheckNames(aTables.routes_, findings);
  CheckNames(aTables.pools_, findings);
  std::map<PoolName, const ServingPool*> pools;
  for (const ServingPool& pool : aTables.pools_) {
    pools.emplace(pool.name_, &pool);
  }
  for (const ServingRoute& route : aTables.routes_) {
    CheckPrefix(route, findings);
    CheckRouteLimits(route, findings);
    CheckRoutePools(route, pools, findings);
  }
  CheckHiddenRoutes(aTables.routes_, findings);
  CheckPools(aTables, findings);
  CheckCustomers(aTables, findings);
  CheckCallerLimits(aTables.limits_, findings);
  return findings;
}

std::vector<CheckFinding>
CompareTables(const ServingTables::Content& aInForce,
              const ServingTables::Content& aProposed)
{
  Findings findings;
  if (aProposed.version_ <= aInForce.version_) {
    findings.push_back(
      { CheckLevel::Error,
        "version",
        std::to_string(aProposed.version_) + " is not newer than version " +
          std::to_string(aInForce.version_) + " in force; daemons ignore it" });
  }
  CompareEntries(aInForce.routes_, aProposed.routes_, findings);
  CompareEntries(aInForce.pools_, aProposed.pools_, findings);
  if (aInForce.customers_ && !aProposed.customers_) {
    findings.push_back({ CheckLevel::Error,
                         "customers",
                         "the list is missing; daemons reject tables without "
                         "it after tables with it" });
  }
  CompareEntries(aInForce.customers_.value_or(std::vector<ServingCustomer>()),
                 aProposed.customers_.value_or(std::vector<ServingCustomer>()),
                 findings);
  DifferenceList limits;
  const CallerLimits& before = aInForce.limits_;
  const CallerLimits& after = aProposed.limits_;
  limits.Compare("header bytes", before.headerBytes_, after.headerBytes_);
  limits.Compare("body bytes", before.bodyBytes_, after.bodyBytes_);
  limits.Compare("header timeout", before.headerTimeout_, after.headerTimeout_);
  limits.Compare("idle timeout", before.idleTimeout_, after.idleTimeout_);
  if (!limits.GetText().empty()) {
    findings.push_back(
      { CheckLevel::Change, "limits", "changed: " + limits.GetText() });
  }
  return findings;
}

} // namespace azurecross

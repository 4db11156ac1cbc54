#include "RouteIndex.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace azurecross {

namespace {

std::string_view
TrimSlash(std::string_view aPrefix)
{
  if (!aPrefix.empty() && aPrefix.back() == '/') {
    aPrefix.remove_suffix(1);
  }
  return aPrefix;
}

std::uint64_t
HashKey(std::uint64_t aPrefixHash,
        std::string_view aCustomer,
        std::string_view aModel)
{
  return HashBytes(aModel, HashBytes(aCustomer, aPrefixHash));
}

auto
MakeOrder(const Route& aRoute)
{
  return std::make_tuple(
    aRoute.priorityOrder_,
    -static_cast<std::int64_t>(TrimSlash(aRoute.pathPrefix_).size()),
    aRoute.customers_.empty(),
    aRoute.models_.empty(),
    aRoute.methods_.empty(),
    std::string_view(aRoute.name_.GetValue()));
}

template<typename Id>
std::vector<std::string_view>
SortNames(const std::vector<Id>& aNames)
{
  std::vector<std::string_view> sorted;
  sorted.reserve(aNames.size());
  for (const Id& name : aNames) {
    sorted.emplace_back(name.GetValue());
  }
  std::sort(sorted.begin(), sorted.end());
  return sorted;
}

bool
Admits(const std::vector<std::string_view>& aSorted, std::string_view aName)
{
  return aSorted.empty() ||
         std::binary_search(aSorted.begin(), aSorted.end(), aName);
}

} // namespace

RouteIndex::RouteIndex(std::vector<std::shared_ptr<const Route>> aRoutes)
  : routes_(std::move(aRoutes))
{
  std::sort(
    routes_.begin(), routes_.end(), [](const auto& aLeft, const auto& aRight) {
      return MakeOrder(*aLeft) < MakeOrder(*aRight);
    });
  ranked_.reserve(routes_.size());
  for (const auto& route : routes_) {
    ranked_.push_back({ route.get(),
                        TrimSlash(route->pathPrefix_),
                        SortNames(route->customers_),
                        SortNames(route->models_) });
    longestPrefix_ = std::max(longestPrefix_, ranked_.back().prefix_.size());
    File(static_cast<Position>(ranked_.size() - 1));
  }
}

void
RouteIndex::File(Position aPosition)
{
  static const std::vector<std::string_view> kAny{ std::string_view() };
  const RankedRoute& ranked = ranked_[aPosition];
  const std::uint64_t prefixHash = HashBytes(ranked.prefix_);
  prefixes_.insert(prefixHash);
  for (const auto customer :
       ranked.customers_.empty() ? kAny : ranked.customers_) {
    for (const auto model : ranked.models_.empty() ? kAny : ranked.models_) {
      buckets_[HashKey(prefixHash, customer, model)].push_back(aPosition);
    }
  }
}

const Route*
RouteIndex::Find(const RouteKey& aQuery) const
{
  const std::string_view path = aQuery.path_.substr(0, aQuery.path_.find('?'));
  if (path.empty() || path.front() != '/') {
    return nullptr;
  }
  constexpr Position kNone = std::numeric_limits<Position>::max();
  Position best = kNone;
  for (std::size_t end = 0; end <= longestPrefix_;) {
    SearchPrefix(path.substr(0, end), aQuery, best);
    if (end >= path.size()) {
      break;
    }
    end = std::min(path.find('/', end + 1), path.size());
  }
  return best == kNone ? nullptr : ranked_[best].route_;
}

void
RouteIndex::SearchPrefix(std::string_view aPrefix,
                         const RouteKey& aQuery,
                         Position& aBest) const
{
  const std::uint64_t hash = HashBytes(aPrefix);
  if (!prefixes_.contains(hash)) {
    return;
  }
  SearchBucket(HashKey(hash, {}, {}), aPrefix, aQuery, aBest);
  if (!aQuery.customer_.empty()) {
    SearchBucket(HashKey(hash, aQuery.customer_, {}), aPrefix, aQuery, aBest);
  }
  if (aQuery.model_.empty()) {
    return;
  }
  SearchBucket(HashKey(hash, {}, aQuery.model_), aPrefix, aQuery, aBest);
  if (!aQuery.customer_.empty()) {
    SearchBucket(
      HashKey(hash, aQuery.customer_, aQuery.model_), aPrefix, aQuery, aBest);
  }
}

void
RouteIndex::SearchBucket(std::uint64_t aHash,
                         std::string_view aPrefix,
                         const RouteKey& aQuery,
                         Position& aBest) const
{
  const auto found = buckets_.find(aHash);
  if (found == buckets_.end()) {
    return;
  }
  for (const Position position : found->second) {
    if (position >= aBest) {
      return;
    }
    if (Matches(ranked_[position], aPrefix, aQuery)) {
      aBest = position;
      return;
    }
  }
}

bool
RouteIndex::Matches(const RankedRoute& aRanked,
                    std::string_view aPrefix,
                    const RouteKey& aQuery) const
{
  const std::vector<std::string>& methods = aRanked.route_->methods_;
  return aRanked.prefix_ == aPrefix &&
         (methods.empty() ||
          std::find(methods.begin(), methods.end(), aQuery.method_) !=
            methods.end()) &&
         Admits(aRanked.customers_, aQuery.customer_) &&
         Admits(aRanked.models_, aQuery.model_);
}

} // namespace azurecross

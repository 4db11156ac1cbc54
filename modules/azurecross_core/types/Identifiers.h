#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace azurecross {

/**
 * A value that identifies one kind of object, so that for example a customer
 * can't be passed where an entry is expected.
 */
template<typename Tag, typename Value>
class StrongId
{
public:
  using ValueType = Value;

  StrongId() = default;
  explicit StrongId(Value aValue)
    : value_(std::move(aValue))
  {
  }

  const Value& GetValue() const { return value_; }

  // clang-tidy takes the 0 of rewritten comparisons for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const StrongId&, const StrongId&) = default;
  friend bool operator==(const StrongId&, const StrongId&) = default;

  friend std::ostream& operator<<(std::ostream& aStream, const StrongId& aId)
  {
    return aStream << aId.value_;
  }

private:
  Value value_{};
};

/** An entry daemon, unique among the live ones; set by `--entry-id`. */
using EntryId = StrongId<struct EntryIdTag, std::string>;
/** One start of an entry daemon; a later start has a greater number. */
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/** An availability zone, as named in settings and in the VM list. */
using AvailabilityZone = StrongId<struct AvailabilityZoneTag, std::string>;
/** A backend server: one engine replica or one instance of a service. */
using BackendServerId = StrongId<struct BackendServerIdTag, std::string>;
/** A customer, the unit of fairness. */
using CustomerId = StrongId<struct CustomerIdTag, std::string>;
/** A model that engines serve. */
using ModelName = StrongId<struct ModelNameTag, std::string>;
/** The name of a row in the routes table. */
using RouteName = StrongId<struct RouteNameTag, std::string>;
/** The name of a row in the pools table. */
using PoolName = StrongId<struct PoolNameTag, std::string>;
/** A caller's request, taken from `X-Request-Id` or created by the entry. */
using RequestId = StrongId<struct RequestIdTag, std::string>;
/** A slot on a backend server, granted by an arbiter. */
using GrantId = StrongId<struct GrantIdTag, std::uint64_t>;

} // namespace azurecross

template<typename Tag, typename Value>
struct std::hash<azurecross::StrongId<Tag, Value>>
{
  std::size_t operator()(
    const azurecross::StrongId<Tag, Value>& aId) const noexcept
  {
    return std::hash<Value>{}(aId.GetValue());
  }
};

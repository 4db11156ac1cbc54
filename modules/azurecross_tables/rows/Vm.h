#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace azurecross {

enum class VmRole
{
  Entry,
  Backend,
};

inline constexpr NameTable<VmRole, 2> kVmRoleNames{
  { { { VmRole::Entry, "entry" }, { VmRole::Backend, "backend" } } }
};

enum class VmState
{
  Live,
  Leaving,
};

inline constexpr NameTable<VmState, 2> kVmStateNames{
  { { { VmState::Live, "live" }, { VmState::Leaving, "leaving" } } }
};

/** One VM of the platform's list. */
struct Vm
{
  std::string id_;
  VmRole role_ = VmRole::Backend;
  std::string group_;
  AvailabilityZone availabilityZone_;
  SocketAddress address_;
  VmState state_ = VmState::Live;

  friend bool operator==(const Vm&, const Vm&) = default;
};

/** The platform's list of VMs, which lags behind the actual state. */
struct VmList
{
  std::int64_t version_ = 0;
  std::vector<Vm> vms_;

  friend bool operator==(const VmList&, const VmList&) = default;
};

/** Reads the JSON of `GET /v1/vms`. */
Result<VmList>
ParseVmList(std::string_view aText);

std::string
SerializeVmList(const VmList& aList);

} // namespace azurecross

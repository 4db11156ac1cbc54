#pragma once

#include <azurecross_policy/azurecross_policy.h>

#include <cstddef>
#include <vector>

namespace azurecross::bench {

/** What a policy decided about one request. */
struct Decision
{
  std::size_t request_ = 0;
  bool isGranted_ = false;
  /** The engine, if granted. */
  std::size_t server_ = 0;
};

using Decisions = std::vector<Decision>;

/** Request ids of the bench are their index in the arrivals. */
inline RequestId
MakeRequestId(std::size_t aRequest)
{
  return RequestId(std::to_string(aRequest));
}

inline BackendServerId
MakeServerId(std::size_t aServer)
{
  return BackendServerId(std::to_string(aServer));
}

inline std::size_t
ParseIndex(const std::string& aText)
{
  return std::stoul(aText);
}

/** The policies that a scenario can run. */
enum class PolicyKind
{
  /** One home entry per group of backend servers: the product's way. */
  HomePerGroup,
  /** One home entry per backend server. */
  HomePerServer,
  /** Each entry uses a fixed share of every backend server. */
  FixedShares,
  /** Each entry alone, two random choices on lagged load reports. */
  TwoChoices,
  RoundRobin,
  LeastOutstanding,
};

inline constexpr NameTable<PolicyKind, 6> kPolicyNames{
  { { { PolicyKind::HomePerGroup, "home-per-group" },
      { PolicyKind::HomePerServer, "home-per-server" },
      { PolicyKind::FixedShares, "fixed-shares" },
      { PolicyKind::TwoChoices, "two-choices" },
      { PolicyKind::RoundRobin, "round-robin" },
      { PolicyKind::LeastOutstanding, "least-outstanding" } } }
};

/** What a policy knows about the deployment. */
struct PolicyOptions
{
  PolicyKind kind_ = PolicyKind::HomePerGroup;
  std::vector<BackendServerDescription> servers_;
  /** Zone of each backend server. */
  std::vector<std::size_t> zones_;
  std::size_t zoneCount_ = 1;
  std::size_t entries_ = 6;
  std::uint64_t seed_ = 1;
  bool isPaced_ = false;
};

} // namespace azurecross::bench

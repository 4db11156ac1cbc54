#include "IssuerSelector.h"

#include <algorithm>
#include <set>

namespace azurecross {

namespace {

/** Part of a limit that all substitutes together may issue. */
constexpr double kSubstituteShare = 0.5;

} // namespace

void
IssuerSelector::SetMembers(PermitPeer aSelf, std::vector<PermitPeer> aMembers)
{
  self_ = std::move(aSelf);
  members_ = std::move(aMembers);
  if (members_.empty()) {
    members_.push_back(self_);
  }
  std::set<AvailabilityZone> zones;
  for (const PermitPeer& member : members_) {
    zones.insert(member.zone_);
  }
  zoneCount_ = zones.size();
}

bool
IssuerSelector::IsListed() const
{
  return std::any_of(
    members_.begin(), members_.end(), [this](const PermitPeer& aMember) {
      return aMember.name_ == self_.name_;
    });
}

const PermitPeer*
IssuerSelector::FindHighest(const BackendServerId& aServer,
                            const AvailabilityZone* aZone,
                            const std::string& aExcluded) const
{
  const std::uint64_t seed = HashBytes(aServer.GetValue());
  const PermitPeer* highest = nullptr;
  std::uint64_t highestWeight = 0;
  for (const PermitPeer& member : members_) {
    if (member.name_ == aExcluded ||
        (aZone != nullptr && member.zone_ != *aZone)) {
      continue;
    }
    const std::uint64_t weight = HashBytes(member.name_, seed);
    if (highest == nullptr || weight > highestWeight) {
      highest = &member;
      highestWeight = weight;
    }
  }
  return highest;
}

const std::string&
IssuerSelector::FindIssuer(const BackendServerId& aServer,
                           const AvailabilityZone& aServerZone) const
{
  const PermitPeer* issuer = FindHighest(aServer, &aServerZone, "");
  if (issuer == nullptr) {
    issuer = FindHighest(aServer, nullptr, "");
  }
  return issuer == nullptr ? self_.name_ : issuer->name_;
}

const std::string&
IssuerSelector::FindSubstitute(const BackendServerId& aServer,
                               const AvailabilityZone& aServerZone) const
{
  const PermitPeer* substitute =
    FindHighest(aServer, &self_.zone_, FindIssuer(aServer, aServerZone));
  return substitute == nullptr ? self_.name_ : substitute->name_;
}

double
IssuerSelector::GetShare(const BackendServerId& aServer,
                         const AvailabilityZone& aServerZone) const
{
  if (FindIssuer(aServer, aServerZone) == self_.name_) {
    return 1.0;
  }
  const bool isSubstitute =
    IsListed() && FindSubstitute(aServer, aServerZone) == self_.name_;
  return kSubstituteShare /
         static_cast<double>(isSubstitute ? zoneCount_ : members_.size());
}

} // namespace azurecross

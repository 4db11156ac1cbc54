#include "IssuerSelector.h"

#include <algorithm>
#include <set>

namespace azurecross {

namespace {

/** Part of a limit that all substitutes together may issue. */
constexpr double kSubstituteShare = 0.5;
/** Part of a limit that its new issuer may issue beside the one before. With
 * the bursts of both, less than one and a half times the limit. */
constexpr double kNewIssuerShare = 0.25;
/** Longest time until all daemons have read a changed list of members: the
 * longest interval between two reads, and its jitter. */
constexpr Duration kHandoverTime = std::chrono::seconds(10);

} // namespace

void
IssuerSelector::SetMembers(PermitPeer aSelf,
                           std::vector<PermitPeer> aMembers,
                           Time aNow)
{
  std::erase_if(pastMembers_,
                [&](const PastMembers& aPast) { return aNow >= aPast.until_; });
  if (!members_.empty() && members_ != aMembers) {
    pastMembers_.push_back({ std::move(members_), aNow + kHandoverTime });
  }
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
IssuerSelector::Contains(const Members& aMembers, const std::string& aName)
{
  return std::any_of(
    aMembers.begin(), aMembers.end(), [&](const PermitPeer& aMember) {
      return aMember.name_ == aName;
    });
}

const PermitPeer*
IssuerSelector::FindHighest(const Members& aMembers,
                            const BackendServerId& aServer,
                            const AvailabilityZone* aZone,
                            const std::string& aExcluded)
{
  const std::uint64_t seed = HashBytes(aServer.GetValue());
  const PermitPeer* highest = nullptr;
  std::uint64_t highestWeight = 0;
  for (const PermitPeer& member : aMembers) {
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

const PermitPeer*
IssuerSelector::FindIssuerAmong(const Members& aMembers,
                                const BackendServerId& aServer,
                                const AvailabilityZone& aServerZone)
{
  const PermitPeer* issuer = FindHighest(aMembers, aServer, &aServerZone, "");
  return issuer != nullptr ? issuer
                           : FindHighest(aMembers, aServer, nullptr, "");
}

const std::string&
IssuerSelector::FindIssuer(const BackendServerId& aServer,
                           const AvailabilityZone& aServerZone) const
{
  const PermitPeer* issuer = FindIssuerAmong(members_, aServer, aServerZone);
  return issuer == nullptr ? self_.name_ : issuer->name_;
}

const std::string&
IssuerSelector::FindSubstitute(const BackendServerId& aServer,
                               const AvailabilityZone& aServerZone) const
{
  const PermitPeer* substitute = FindHighest(
    members_, aServer, &self_.zone_, FindIssuer(aServer, aServerZone));
  return substitute == nullptr ? self_.name_ : substitute->name_;
}

bool
IssuerSelector::IsBeingHandedOver(const BackendServerId& aServer,
                                  const AvailabilityZone& aServerZone,
                                  Time aNow) const
{
  return std::any_of(
    pastMembers_.begin(), pastMembers_.end(), [&](const PastMembers& aPast) {
      const PermitPeer* issuer =
        FindIssuerAmong(aPast.members_, aServer, aServerZone);
      return aNow < aPast.until_ && issuer != nullptr &&
             issuer->name_ != self_.name_ && Contains(members_, issuer->name_);
    });
}

double
IssuerSelector::GetShare(const BackendServerId& aServer,
                         const AvailabilityZone& aServerZone,
                         Time aNow) const
{
  if (FindIssuer(aServer, aServerZone) == self_.name_) {
    return IsBeingHandedOver(aServer, aServerZone, aNow) ? kNewIssuerShare
                                                         : 1.0;
  }
  const bool isSubstitute = Contains(members_, self_.name_) &&
                            FindSubstitute(aServer, aServerZone) == self_.name_;
  return kSubstituteShare /
         static_cast<double>(isSubstitute ? zoneCount_ : members_.size());
}

} // namespace azurecross

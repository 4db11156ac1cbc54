#pragma once

#include "../servers/ServerDirectory.h"

#include <azurecross_core/azurecross_core.h>

#include <cstddef>
#include <string>
#include <vector>

namespace azurecross {

/** A daemon that can issue permits. */
struct PermitPeer
{
  std::string name_;
  AvailabilityZone zone_;

  friend bool operator==(const PermitPeer&, const PermitPeer&) = default;
};

/**
 * Selects the daemon that issues the permits of a backend server. All daemons
 * with the same list of members agree on it.
 *
 * The issuer of a server is in the server's zone, so a daemon that reaches the
 * server usually reaches its issuer. While the issuer is silent, one daemon in
 * each zone substitutes for it with a share of the limit. The shares add up to
 * half of the limit, because the issuer may be alive for other daemons.
 *
 * Daemons learn of a change of the members at different times. A daemon that
 * becomes the issuer in place of a live one begins with a small share, as long
 * as others may still ask the one before.
 */
class IssuerSelector
{
public:
  /** Sets this daemon and the live daemons. A daemon that is missing in the
   * list issues nothing but the share of a daemon that reaches no other,
   * because the others don't know it. One without any list is alone. */
  void SetMembers(PermitPeer aSelf,
                  std::vector<PermitPeer> aMembers,
                  Time aNow);

  /** @returns the issuer of a server. */
  const std::string& FindIssuer(const BackendServerId& aServer,
                                const AvailabilityZone& aServerZone) const;
  /** @returns the substitute for the issuer in the zone of this daemon. */
  const std::string& FindSubstitute(const BackendServerId& aServer,
                                    const AvailabilityZone& aServerZone) const;
  /** @returns the share of the server's limit that this daemon may issue. */
  double GetShare(const BackendServerId& aServer,
                  const AvailabilityZone& aServerZone,
                  Time aNow) const;

  const std::string& GetSelf() const { return self_.name_; }

private:
  using Members = std::vector<PermitPeer>;

  /** A list of members that others may still have. */
  struct PastMembers
  {
    Members members_;
    Time until_;
  };

  static bool Contains(const Members& aMembers, const std::string& aName);
  /** @returns the member with the highest weight for the server, or null.
   * @param aZone only members of this zone are considered, if not null.
   * @param aExcluded a member that is not considered. */
  static const PermitPeer* FindHighest(const Members& aMembers,
                                       const BackendServerId& aServer,
                                       const AvailabilityZone* aZone,
                                       const std::string& aExcluded);
  /** @returns the issuer among these members, or null. */
  static const PermitPeer* FindIssuerAmong(const Members& aMembers,
                                           const BackendServerId& aServer,
                                           const AvailabilityZone& aServerZone);
  /** @returns whether a live daemon was the issuer before this one and others
   * may not know that yet. */
  bool IsBeingHandedOver(const BackendServerId& aServer,
                         const AvailabilityZone& aServerZone,
                         Time aNow) const;

  PermitPeer self_;
  Members members_;
  std::vector<PastMembers> pastMembers_;
  std::size_t zoneCount_ = 1;
};

} // namespace azurecross

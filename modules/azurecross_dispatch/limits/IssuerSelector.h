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
};

/**
 * Selects the daemon that issues the permits of a backend server. All daemons
 * with the same list of members agree on it.
 *
 * The issuer of a server is in the server's zone, so a daemon that reaches the
 * server usually reaches its issuer. While the issuer is silent, one daemon in
 * each zone substitutes for it with a share of the limit. The shares add up to
 * half of the limit, because the issuer may be alive for other daemons.
 */
class IssuerSelector
{
public:
  /** Sets this daemon and the live daemons. A daemon that is missing in the
   * list issues nothing but the share of a daemon that reaches no other,
   * because the others don't know it. One without any list is alone. */
  void SetMembers(PermitPeer aSelf, std::vector<PermitPeer> aMembers);

  /** @returns the issuer of a server. */
  const std::string& FindIssuer(const BackendServerId& aServer,
                                const AvailabilityZone& aServerZone) const;
  /** @returns the substitute for the issuer in the zone of this daemon. */
  const std::string& FindSubstitute(const BackendServerId& aServer,
                                    const AvailabilityZone& aServerZone) const;
  /** @returns the share of the server's limit that this daemon may issue. */
  double GetShare(const BackendServerId& aServer,
                  const AvailabilityZone& aServerZone) const;

  const std::string& GetSelf() const { return self_.name_; }

private:
  bool IsListed() const;
  /** @returns the member with the highest weight for the server, or null.
   * @param aZone only members of this zone are considered, if not null.
   * @param aExcluded a member that is not considered. */
  const PermitPeer* FindHighest(const BackendServerId& aServer,
                                const AvailabilityZone* aZone,
                                const std::string& aExcluded) const;

  PermitPeer self_;
  std::vector<PermitPeer> members_;
  std::size_t zoneCount_ = 1;
};

} // namespace azurecross

#pragma once

#include "../grants/GrantCoordinator.h"
#include "../groups/GroupDirectory.h"
#include "PeerBridge.h"

namespace azurecross {

/**
 * Exchanges with other entries what concerns backend servers: summaries of
 * arbitration groups, and notices that a backend server is leaving. Runs on the
 * control thread.
 */
class NewsExchange
{
public:
  static constexpr Duration kInterval = std::chrono::seconds(1);
  /** Covers the lag of the VM list; the home entry publishes it again. */
  static constexpr Duration kNoticeLifetime = std::chrono::seconds(60);

  NewsExchange(PeerBridge& aPeers, GroupDirectory& aDirectory);

  /**
   * Publishes the summaries of home groups and passes on those of others, each
   * `kInterval`.
   * @returns whether a backend server has begun or ceased to leave.
   */
  bool Exchange(GrantCoordinator& aGrants, const GroupMap& aGroups, Time aNow);

  /** Tells the zone that a backend server is leaving. */
  void PublishLeaving(const BackendServerId& aServer, Time aNow);
  /** Takes back what this entry has told the zone of a server that stays. */
  void WithdrawLeaving(const BackendServerId& aServer, Time aNow);

private:
  void PublishSummaries(const GrantCoordinator& aGrants, Time aNow);
  void ReadSummaries(GrantCoordinator& aGrants,
                     const GroupMap& aGroups,
                     Time aNow) const;

  PeerBridge& peers_;
  GroupDirectory& directory_;
  std::set<BackendServerId> published_;
  Time last_;
};

} // namespace azurecross

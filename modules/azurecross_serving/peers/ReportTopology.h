#pragma once

#include "../state/StateSource.h"

#include <vector>

namespace azurecross {

/**
 * Determines which daemons receive load reports. In a small fleet, each daemon
 * reports to all others. In a large one, that would be the largest part of the
 * traffic between zones and of the datagrams that a daemon handles: each daemon
 * then reports to its own zone, and two daemons of each zone, those with the
 * fastest links, exchange summaries with those of the other zones and pass them
 * on within their own zone. Without I/O or a clock.
 */
class ReportTopology
{
public:
  ReportTopology(SocketAddress aSelf, AvailabilityZone aZone);

  /** Sets the live daemons; this one may be missing. */
  void SetMembers(const std::vector<MemberRecord>& aMembers);

  /** @returns whether the zones exchange summaries. */
  bool UsesSummaries() const { return usesSummaries_; }
  /** @returns whether this daemon summarizes the load of its zone. */
  bool IsSummarizer() const { return isSummarizer_; }

  /** @returns the other daemons of the own zone. */
  const std::vector<SocketAddress>& GetOwnZone() const { return ownZone_; }
  /** @returns the daemons of other zones to report to: all, or only their
   * summarizers. */
  const std::vector<SocketAddress>& GetOtherZones() const
  {
    return otherZones_;
  }

private:
  SocketAddress self_;
  AvailabilityZone zone_;
  bool usesSummaries_ = false;
  bool isSummarizer_ = false;
  std::vector<SocketAddress> ownZone_;
  std::vector<SocketAddress> otherZones_;
};

} // namespace azurecross

#pragma once

#include "Gossip.h"

#include <vector>

namespace azurecross {

/** A group summary with its age, for `ZoneRouter` and `/status`. */
struct SummaryItem
{
  wire::GroupSummary summary_;
  Duration age_{};
};

/**
 * Group summaries on top of `Gossip`. Home entries publish those of their
 * groups to their own zone. The first delegate of a zone adds them up for each
 * pool and publishes the sums to all zones, so that what crosses zones grows
 * with pools x zones and not with groups or replicas.
 */
class SummaryBoard
{
public:
  /** How often a home entry should publish. */
  static constexpr Duration kGroupInterval = std::chrono::seconds(1);
  /** A record takes up to 6 s to reach all entries of a zone. */
  static constexpr Duration kGroupLifetime = std::chrono::seconds(15);
  static constexpr Duration kZoneInterval = std::chrono::seconds(5);
  static constexpr Duration kZoneLifetime = std::chrono::seconds(30);

  SummaryBoard(Gossip& aGossip, AvailabilityZone aZone);

  /** Publishes the summary of a group whose home entry this entry is. */
  void PublishGroup(wire::GroupSummary aSummary,
                    Time aNow,
                    ClusterActions& aActions);

  /** Publishes the sums when they are due; called on the first delegate. */
  void PublishZone(Time aNow, ClusterActions& aActions);

  /** @returns the summaries of the groups in the own zone. */
  std::vector<SummaryItem> ListGroups(Time aNow) const;

  /** @returns the newest summary of each pool in each other zone. */
  std::vector<SummaryItem> ListZones(Time aNow) const;

private:
  Gossip& gossip_;
  const AvailabilityZone zone_;
  Time nextZone_;
};

} // namespace azurecross

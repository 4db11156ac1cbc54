#pragma once

#include "../arbitration/GroupSummary.h"

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <map>

namespace azurecross {

/**
 * Chooses the availability zone whose group gets a request.
 *
 * The entry's own zone comes first. Above a saturation bound, a part of the
 * requests goes to zones with room, in proportion to their room; the part
 * grows with the saturation, so that old summaries don't send everything to
 * one zone at once. A zone without a recent summary gets nothing.
 */
class ZoneRouter
{
public:
  ZoneRouter(AvailabilityZone aOwnZone, std::uint64_t aSeed);

  /** Takes the summary of a zone's group, the own zone's included. */
  void ReportSummary(const AvailabilityZone& aZone,
                     const GroupSummary& aSummary,
                     Time aNow);

  /** Forgets a zone that can't be reached. */
  void RemoveZone(const AvailabilityZone& aZone);

  /** @returns the zone for a request of this rank. */
  AvailabilityZone ChooseZone(Rank aRank, Time aNow);

  /** @returns the share of slots that work of at least this rank uses or
   * waits for. */
  static double ComputeSaturation(const GroupSummary& aSummary, Rank aRank);

private:
  struct ZoneState
  {
    GroupSummary summary_;
    Time reported_;
  };

  AvailabilityZone ownZone_;
  Random random_;
  std::map<AvailabilityZone, ZoneState> zones_;
};

} // namespace azurecross

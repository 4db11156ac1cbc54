#pragma once

#include "../arbitration/GroupSummary.h"

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <map>

namespace azurecross {

/**
 * Selects the availability zone whose group serves a request.
 *
 * The local zone is preferred. When its saturation exceeds a threshold, a
 * random fraction of the requests spills over to zones with spare capacity,
 * weighted by that capacity. The fraction grows with the saturation, so that
 * routing on outdated summaries doesn't send all requests to one zone at once.
 * Zones without a recent summary receive no spilled requests.
 */
class ZoneRouter
{
public:
  ZoneRouter(AvailabilityZone aLocalZone, std::uint64_t aSeed);

  /** Stores the summary of the group in a zone, which may be the local zone. */
  void ReportSummary(const AvailabilityZone& aZone,
                     const GroupSummary& aSummary,
                     Time aNow);

  /** Removes a zone that can't be reached from the candidates. */
  void RemoveZone(const AvailabilityZone& aZone);

  /** @returns the zone that serves a request of this rank. */
  AvailabilityZone ChooseZone(Rank aRank, Time aNow);

  /** @returns the queued and running requests of this rank and of more urgent
   * ones, divided by the number of slots. */
  static double ComputeSaturation(const GroupSummary& aSummary, Rank aRank);

private:
  struct ZoneReport
  {
    GroupSummary summary_;
    Time reportedAt_;
  };

  AvailabilityZone localZone_;
  Random random_;
  std::map<AvailabilityZone, ZoneReport> zones_;
};

} // namespace azurecross

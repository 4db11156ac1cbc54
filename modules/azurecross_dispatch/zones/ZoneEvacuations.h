#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace azurecross {

/** The availability zones that the operator has evacuated, as of a revision of
 * the store. */
struct EvacuatedZones
{
  std::set<AvailabilityZone> zones_;
  /** How often the store had been restored from a backup by then. */
  std::uint64_t restoreCount_ = 0;
  std::uint64_t revision_ = 0;

  /** @returns whether this was read before the other one. */
  bool IsOlderThan(const EvacuatedZones& aOther) const;
};

/** An evacuation that has begun or ended. */
struct ZoneEvacuationChange
{
  AvailabilityZone zone_;
  bool isEvacuated_ = false;
};

/**
 * The availability zones to whose backend servers nothing is sent, at the
 * operator's request.
 *
 * Daemons read the zones from the store and from each other, so an older list
 * can arrive after a newer one; it is ignored. A store that was restored from a
 * backup lacks the operator's last writes until they are repeated, so that
 * evacuations which it lacks stay in force for some time. The design covers the
 * loss of a third of the servers at the busiest time.
 */
class ZoneEvacuations
{
public:
  /** Time after a restore of the store for which a missing evacuation stays in
   * force. The operator's writes are repeated within about two seconds. */
  static constexpr Duration kRestoreSettleTime = std::chrono::seconds(3);

  /** Applies a list, unless a newer one is known.
   * @returns the changes. */
  std::vector<ZoneEvacuationChange> Apply(const EvacuatedZones& aZones,
                                          Time aNow);
  /** Ends the evacuations that a restored store has not confirmed in time.
   * @returns the changes. */
  std::vector<ZoneEvacuationChange> Tick(Time aNow);

  bool IsEvacuated(const AvailabilityZone& aZone) const
  {
    return since_.contains(aZone);
  }
  /** @returns whether the evacuation has been known for at least this long. */
  bool IsEvacuatedFor(const AvailabilityZone& aZone,
                      Duration aTime,
                      Time aNow) const;
  std::size_t CountEvacuated() const { return since_.size(); }

private:
  std::vector<ZoneEvacuationChange> EndUnlisted();

  /** The evacuated zones, and since when this daemon has known it. */
  std::map<AvailabilityZone, Time> since_;
  /** The newest list. */
  EvacuatedZones listed_;
  bool hasList_ = false;
  /** Until this time the list may lack evacuations. */
  Time settledAt_;
};

} // namespace azurecross

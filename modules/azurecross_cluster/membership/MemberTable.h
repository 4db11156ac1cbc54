#pragma once

#include "Member.h"

#include "../selection/HomeSelector.h"

#include <map>
#include <vector>

namespace azurecross {

/**
 * The members that one entry knows, of all zones. A record with a higher
 * incarnation wins; within one incarnation the later state wins.
 */
class MemberTable
{
public:
  struct Entry
  {
    Member member_;
    /** When the state last changed here. */
    Time since_;
    /** Set while probes of the member fail. */
    std::optional<Time> suspectedSince_;
  };

  /** @returns whether the record replaced an older one or was new. */
  bool Merge(const Member& aMember, Time aNow);

  Entry* Find(const EntryId& aEntry);
  const Entry* Find(const EntryId& aEntry) const;
  void Erase(const EntryId& aEntry);

  const std::map<EntryId, Entry>& GetEntries() const { return entries_; }
  std::map<EntryId, Entry>& GetEntries() { return entries_; }

  /** @returns the zones that have any record, sorted. */
  std::vector<AvailabilityZone> ListZones() const;

  /** @returns the selector over the eligible members of a zone. */
  const HomeSelector& GetSelector(const AvailabilityZone& aZone) const;

  /**
   * @returns up to `aCount` records after `aCursor` in id order, going round;
   * moves the cursor.
   */
  std::vector<Member> ReadPage(EntryId& aCursor, std::size_t aCount) const;

private:
  std::map<EntryId, Entry> entries_;
  /** Built on demand and dropped on each change of the zone. */
  mutable std::map<AvailabilityZone, HomeSelector> selectors_;
};

} // namespace azurecross

#include "MemberTable.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace azurecross {

bool
MemberTable::Merge(const Member& aMember, Time aNow)
{
  const auto [found, isNew] = entries_.try_emplace(aMember.entry_);
  Entry& entry = found->second;
  if (!isNew && std::tie(aMember.incarnation_, aMember.state_) <=
                  std::tie(entry.member_.incarnation_, entry.member_.state_)) {
    return false;
  }
  selectors_.erase(entry.member_.zone_);
  selectors_.erase(aMember.zone_);
  entry = { aMember, aNow, std::nullopt };
  if (aMember.state_ == MemberState::Suspect) {
    entry.suspectedSince_ = aNow;
  }
  return true;
}

MemberTable::Entry*
MemberTable::Find(const EntryId& aEntry)
{
  const auto found = entries_.find(aEntry);
  return found == entries_.end() ? nullptr : &found->second;
}

const MemberTable::Entry*
MemberTable::Find(const EntryId& aEntry) const
{
  const auto found = entries_.find(aEntry);
  return found == entries_.end() ? nullptr : &found->second;
}

void
MemberTable::Erase(const EntryId& aEntry)
{
  const auto found = entries_.find(aEntry);
  if (found == entries_.end()) {
    return;
  }
  selectors_.erase(found->second.member_.zone_);
  entries_.erase(found);
}

std::vector<AvailabilityZone>
MemberTable::ListZones() const
{
  std::set<AvailabilityZone> zones;
  for (const auto& [id, entry] : entries_) {
    zones.insert(entry.member_.zone_);
  }
  return { zones.begin(), zones.end() };
}

const HomeSelector&
MemberTable::GetSelector(const AvailabilityZone& aZone) const
{
  const auto [found, isNew] = selectors_.try_emplace(aZone);
  if (!isNew) {
    return found->second;
  }
  std::vector<HomeCandidate> candidates;
  for (const auto& [id, entry] : entries_) {
    if (entry.member_.zone_ == aZone && entry.member_.IsEligible()) {
      candidates.push_back({ id, entry.member_.size_ });
    }
  }
  found->second.SetMembers(std::move(candidates));
  return found->second;
}

std::vector<Member>
MemberTable::ReadPage(EntryId& aCursor, std::size_t aCount) const
{
  std::vector<Member> page;
  const std::size_t count = std::min(aCount, entries_.size());
  auto position = entries_.upper_bound(aCursor);
  while (page.size() < count) {
    if (position == entries_.end()) {
      position = entries_.begin();
    }
    page.push_back(position->second.member_);
    ++position;
  }
  if (!page.empty()) {
    aCursor = page.back().entry_;
  }
  return page;
}

} // namespace azurecross

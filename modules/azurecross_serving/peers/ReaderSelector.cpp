#include "ReaderSelector.h"

#include "MemberOrder.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace azurecross {

namespace {

/** The daemons that read from the store, so that the loss of one of them is no
 * outage. */
constexpr std::size_t kStoreReaders = 2;
/** Up to this number of daemons, the store readers serve all daemons. */
constexpr std::size_t kMaxDaemonsWithoutRelays = 32;
/** Subscribers served by one relay. */
constexpr std::size_t kDaemonsPerRelay = 16;
/** Time for which a failed reader is skipped, unless it reports before then
 * that the store answers it. */
constexpr Duration kFailedReaderRetryDelay = std::chrono::seconds(3);
/** Time for which a daemon's report that the store answers it is valid. */
constexpr Duration kStoreAccessLifetime = std::chrono::seconds(2);
/** While the store doesn't answer, all daemons other than the store readers
 * together call it 20 times a second. */
constexpr Duration kStoreRetryIntervalPerDaemon = std::chrono::milliseconds(50);
/** Limits the time for which a daemon that is cut off from its peers overlooks
 * the recovery of the store. */
constexpr Duration kMaxStoreRetryInterval = std::chrono::seconds(10);

/** @returns the relays of each zone, in the order of the members. */
std::vector<MemberRecord>
SelectRelays(const std::vector<MemberRecord>& aMembers)
{
  std::map<AvailabilityZone, std::size_t> zoneSizes;
  for (const MemberRecord& member : aMembers) {
    ++zoneSizes[member.zone_];
  }
  std::map<AvailabilityZone, std::size_t> relayCounts;
  std::vector<MemberRecord> relays;
  for (const MemberRecord& member : aMembers) {
    const std::size_t limit =
      std::max<std::size_t>(zoneSizes[member.zone_] / kDaemonsPerRelay, 1);
    if (relayCounts[member.zone_] < limit) {
      ++relayCounts[member.zone_];
      relays.push_back(member);
    }
  }
  return relays;
}

/** @returns the store readers, in different zones if there are several. */
std::vector<MemberRecord>
SelectStoreReaders(const std::vector<MemberRecord>& aCandidates)
{
  std::vector<MemberRecord> readers;
  std::vector<MemberRecord> others;
  std::set<AvailabilityZone> zones;
  for (const MemberRecord& candidate : aCandidates) {
    const bool isNewZone = zones.insert(candidate.zone_).second;
    (isNewZone ? readers : others).push_back(candidate);
  }
  readers.insert(readers.end(), others.begin(), others.end());
  readers.resize(std::min(readers.size(), kStoreReaders));
  return readers;
}

bool
Contains(const std::vector<MemberRecord>& aMembers,
         const SocketAddress& aAddress)
{
  return std::any_of(
    aMembers.begin(), aMembers.end(), [&](const MemberRecord& aMember) {
      return aMember.peerAddress_ == aAddress;
    });
}

} // namespace

void
ReaderSelector::SetMembers(const std::vector<MemberRecord>& aMembers)
{
  memberCount_ = aMembers.size();
  std::vector<MemberRecord> members = aMembers;
  SortByCapacity(members);
  const auto self = std::find_if(
    members.begin(), members.end(), [&](const MemberRecord& aMember) {
      return aMember.peerAddress_ == self_;
    });
  if (self != members.end()) {
    zone_ = self->zone_;
  }
  const std::vector<MemberRecord> relays =
    members.size() > kMaxDaemonsWithoutRelays ? SelectRelays(members)
                                              : std::vector<MemberRecord>();
  AssignRole(SelectStoreReaders(relays.empty() ? members : relays), relays);
}

void
ReaderSelector::AssignRole(const std::vector<MemberRecord>& aStoreReaders,
                           const std::vector<MemberRecord>& aRelays)
{
  const bool isStoreReader =
    aStoreReaders.size() < kStoreReaders || Contains(aStoreReaders, self_);
  if (isStoreReader) {
    role_ = FeedRole::StoreReader;
    readers_.clear();
  } else if (aRelays.empty()) {
    role_ = FeedRole::Subscriber;
    readers_ = SortByPreference(aStoreReaders);
  } else if (Contains(aRelays, self_)) {
    role_ = FeedRole::Relay;
    readers_ = SortByPreference(aStoreReaders);
  } else {
    role_ = FeedRole::Subscriber;
    readers_ = SortByPreference(aRelays);
  }
}

std::vector<SocketAddress>
ReaderSelector::SortByPreference(std::vector<MemberRecord> aReaders) const
{
  const std::uint64_t seed = HashMember(self_, 1);
  const auto makeKey = [&](const MemberRecord& aReader) {
    return std::tuple(aReader.zone_ != zone_,
                      HashMember(aReader.peerAddress_, seed),
                      aReader.peerAddress_);
  };
  std::sort(aReaders.begin(),
            aReaders.end(),
            [&](const MemberRecord& aLeft, const MemberRecord& aRight) {
              return makeKey(aLeft) < makeKey(aRight);
            });
  std::vector<SocketAddress> addresses;
  addresses.reserve(aReaders.size());
  for (const MemberRecord& reader : aReaders) {
    addresses.push_back(reader.peerAddress_);
  }
  return addresses;
}

std::optional<SocketAddress>
ReaderSelector::SelectReader(Time aNow) const
{
  if (role_ == FeedRole::StoreReader) {
    return std::nullopt;
  }
  const auto isUsable = [&](const SocketAddress& aReader) {
    const auto failure = failedAt_.find(aReader);
    return failure == failedAt_.end() ||
           aNow - failure->second >= kFailedReaderRetryDelay;
  };
  const auto reader = std::find_if(readers_.begin(), readers_.end(), isUsable);
  if (reader != readers_.end()) {
    return *reader;
  }
  const bool hasPeerWithStoreAccess =
    peerWithStoreAccess_ && isUsable(*peerWithStoreAccess_) &&
    aNow - storeAccessReportedAt_ < kStoreAccessLifetime;
  return hasPeerWithStoreAccess ? peerWithStoreAccess_ : std::nullopt;
}

void
ReaderSelector::RecordStoreAccess(const SocketAddress& aPeer, Time aNow)
{
  if (std::find(readers_.begin(), readers_.end(), aPeer) != readers_.end()) {
    failedAt_.erase(aPeer);
    return;
  }
  peerWithStoreAccess_ = aPeer;
  storeAccessReportedAt_ = aNow;
}

Duration
ReaderSelector::GetStoreRetryInterval() const
{
  if (role_ == FeedRole::StoreReader) {
    return Duration::zero();
  }
  return std::min<Duration>(kStoreRetryIntervalPerDaemon *
                              static_cast<int>(memberCount_),
                            kMaxStoreRetryInterval);
}

void
ReaderSelector::RecordFailure(const SocketAddress& aReader, Time aNow)
{
  failedAt_[aReader] = aNow;
}

} // namespace azurecross

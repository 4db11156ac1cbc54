#include "ReaderSelector.h"

#include <algorithm>

namespace azurecross {

namespace {

/** At least two readers, so that the loss of one is no outage, and one reader
 * for each 16 daemons, so that none serves more than about 20 daemons. */
constexpr std::size_t kMinReaders = 2;
constexpr std::size_t kDaemonsPerReader = 16;
/** Time for which a failed reader is skipped, unless it reports before then
 * that the store answers it. */
constexpr Duration kFailedReaderRetryDelay = std::chrono::seconds(3);
/** Time for which a daemon's report that the store answers it is valid. */
constexpr Duration kStoreAccessLifetime = std::chrono::seconds(2);
/** While the store doesn't answer, all daemons other than the readers together
 * call it 20 times a second. */
constexpr Duration kStoreRetryIntervalPerDaemon = std::chrono::milliseconds(50);
constexpr Duration kMaxStoreRetryInterval = std::chrono::seconds(3);

std::uint64_t
HashMember(const SocketAddress& aMember, std::uint64_t aSeed)
{
  return HashBytes(aMember.Format(), aSeed);
}

void
SortByHash(std::vector<SocketAddress>& aMembers, std::uint64_t aSeed)
{
  std::sort(aMembers.begin(),
            aMembers.end(),
            [aSeed](const SocketAddress& aLeft, const SocketAddress& aRight) {
              return std::pair(HashMember(aLeft, aSeed), aLeft) <
                     std::pair(HashMember(aRight, aSeed), aRight);
            });
}

} // namespace

void
ReaderSelector::SetMembers(const std::vector<MemberRecord>& aMembers)
{
  memberCount_ = aMembers.size();
  std::vector<SocketAddress> members;
  members.reserve(aMembers.size());
  for (const MemberRecord& member : aMembers) {
    members.push_back(member.peerAddress_);
  }
  SortByHash(members, 0);
  const std::size_t count =
    std::max(kMinReaders, members.size() / kDaemonsPerReader);
  members.resize(std::min(members.size(), count));
  isReader_ = members.size() < kMinReaders ||
              std::find(members.begin(), members.end(), self_) != members.end();
  // Each daemon orders the readers differently, which spreads the load.
  SortByHash(members, HashMember(self_, 1));
  readers_ = std::move(members);
}

std::optional<SocketAddress>
ReaderSelector::SelectReader(Time aNow) const
{
  if (isReader_) {
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
  if (isReader_) {
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

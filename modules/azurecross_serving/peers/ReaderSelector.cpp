#include "ReaderSelector.h"

#include <algorithm>

namespace azurecross {

namespace {

/** Two readers at least, so that the loss of one is no outage; one more for
 * each sixteen daemons, so that none feeds more than about twenty. */
constexpr std::size_t kFewestReaders = 2;
constexpr std::size_t kDaemonsPerReader = 16;
/** A reader that failed is asked again after this time, unless it says before
 * that it hears from the store. */
constexpr Duration kFailureTime = std::chrono::seconds(3);
/** A daemon's word that it hears from the store holds this long. */
constexpr Duration kStorePeerTime = std::chrono::seconds(2);
/** While the store does not answer, all daemons that are no readers together
 * ask it twenty times a second. */
constexpr Duration kStorePausePerDaemon = std::chrono::milliseconds(50);
constexpr Duration kLongestStorePause = std::chrono::seconds(3);

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
  members_ = aMembers.size();
  std::vector<SocketAddress> members;
  members.reserve(aMembers.size());
  for (const MemberRecord& member : aMembers) {
    members.push_back(member.peerAddress_);
  }
  SortByHash(members, 0);
  const std::size_t count =
    std::max(kFewestReaders, members.size() / kDaemonsPerReader);
  members.resize(std::min(members.size(), count));
  isReader_ = members.size() < kFewestReaders ||
              std::find(members.begin(), members.end(), self_) != members.end();
  // Each daemon has an order of its own, which spreads the load.
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
    const auto failed = failedAt_.find(aReader);
    return failed == failedAt_.end() || aNow - failed->second >= kFailureTime;
  };
  const auto reader = std::find_if(readers_.begin(), readers_.end(), isUsable);
  if (reader != readers_.end()) {
    return *reader;
  }
  const bool hasStorePeer = storePeer_ && isUsable(*storePeer_) &&
                            aNow - storePeerHeardAt_ < kStorePeerTime;
  return hasStorePeer ? storePeer_ : std::nullopt;
}

void
ReaderSelector::RecordStoreAccess(const SocketAddress& aPeer, Time aNow)
{
  if (std::find(readers_.begin(), readers_.end(), aPeer) != readers_.end()) {
    failedAt_.erase(aPeer);
    return;
  }
  storePeer_ = aPeer;
  storePeerHeardAt_ = aNow;
}

Duration
ReaderSelector::GetStoreRetryInterval() const
{
  if (isReader_) {
    return Duration::zero();
  }
  return std::min<Duration>(kStorePausePerDaemon * static_cast<int>(members_),
                            kLongestStorePause);
}

void
ReaderSelector::RecordFailure(const SocketAddress& aReader, Time aNow)
{
  failedAt_[aReader] = aNow;
}

} // namespace azurecross

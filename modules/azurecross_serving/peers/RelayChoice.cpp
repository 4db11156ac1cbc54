#include "RelayChoice.h"

#include <algorithm>

namespace azurecross {

namespace {

/** Two readers at least, so that the loss of one is no outage; one more for
 * each sixteen daemons, so that none feeds more than about twenty. */
constexpr std::size_t kFewestReaders = 2;
constexpr std::size_t kDaemonsPerReader = 16;
/** A reader that failed is asked again after this time. */
constexpr Duration kFailureTime = std::chrono::seconds(3);

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
RelayChoice::SetMembers(const std::vector<MemberRecord>& aMembers)
{
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
RelayChoice::FindReader(Time aNow) const
{
  if (isReader_) {
    return std::nullopt;
  }
  for (const SocketAddress& reader : readers_) {
    const auto failed = failedAt_.find(reader);
    if (failed == failedAt_.end() || aNow - failed->second >= kFailureTime) {
      return reader;
    }
  }
  return std::nullopt;
}

void
RelayChoice::TakeFailure(const SocketAddress& aReader, Time aNow)
{
  failedAt_[aReader] = aNow;
}

} // namespace azurecross

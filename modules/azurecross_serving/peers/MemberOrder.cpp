#include "MemberOrder.h"

#include <algorithm>
#include <tuple>

namespace azurecross {

std::uint64_t
HashMember(const SocketAddress& aMember, std::uint64_t aSeed)
{
  return HashBytes(aMember.Format(), aSeed);
}

void
SortByCapacity(std::vector<MemberRecord>& aMembers)
{
  const auto makeKey = [](const MemberRecord& aMember) {
    return std::tuple(-static_cast<std::int64_t>(aMember.linkMbps_),
                      HashMember(aMember.peerAddress_, 0),
                      aMember.peerAddress_);
  };
  std::sort(aMembers.begin(),
            aMembers.end(),
            [&](const MemberRecord& aLeft, const MemberRecord& aRight) {
              return makeKey(aLeft) < makeKey(aRight);
            });
}

} // namespace azurecross

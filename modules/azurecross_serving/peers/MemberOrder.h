#pragma once

#include "../state/StateSource.h"

#include <cstdint>
#include <vector>

namespace azurecross {

/** @returns the hash of a daemon's address, the same at all daemons. */
std::uint64_t
HashMember(const SocketAddress& aMember, std::uint64_t aSeed);

/** Sorts daemons by the capacity of their links, and those with equal links in
 * the same random order at all daemons. */
void
SortByCapacity(std::vector<MemberRecord>& aMembers);

} // namespace azurecross

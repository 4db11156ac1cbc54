#pragma once

#include "Member.h"

#include <map>
#include <vector>

namespace azurecross {

/**
 * Recent member records that ride on outgoing heartbeats. Each record is sent
 * a number of times that grows with the logarithm of the zone's size, which
 * reaches all members with high probability.
 */
class UpdateQueue
{
public:
  /** Adds a record; it replaces an older one of the same member. */
  void Add(const Member& aMember);

  /** Appends up to `kUpdatesPerMessage` records, the least sent first. */
  void Attach(wire::Heartbeat& aHeartbeat, std::size_t aMembers);

  bool IsEmpty() const { return waiting_.empty(); }

  /** A heartbeat with this many records stays under about 600 bytes. */
  static constexpr std::size_t kUpdatesPerMessage = 6;

private:
  struct Waiting
  {
    wire::MemberRecord record_;
    int sent_ = 0;
  };

  std::map<EntryId, Waiting> waiting_;
};

} // namespace azurecross

#pragma once

#include "../state/StateSource.h"

#include <azurecross_core/azurecross_core.h>

#include <map>
#include <optional>
#include <vector>

namespace azurecross {

/** Where a daemon gets its state from, and whom it serves. */
enum class FeedRole
{
  /** Reads the store and serves relays and subscribers. */
  StoreReader,
  /** Reads from a store reader and serves the subscribers of its zone. */
  Relay,
  /** Reads from a relay or a store reader and serves no other daemon. */
  Subscriber,
};

inline constexpr NameTable<FeedRole, 3> kFeedRoleNames{
  { { { FeedRole::StoreReader, "store reader" },
      { FeedRole::Relay, "relay" },
      { FeedRole::Subscriber, "subscriber" } } }
};

/**
 * Assigns the feed roles and selects the daemon from which this daemon reads.
 * All daemons with the same list of members assign the same roles, so that the
 * load on the store doesn't grow with the number of daemons, and the state
 * crosses between zones once for each relay. Daemons with faster links are
 * preferred as readers. A failed reader is skipped for a while. Without a
 * usable reader, a daemon uses another peer that has reported that the store
 * answers it, and without such a peer it calls the store directly.
 */
class ReaderSelector
{
public:
  explicit ReaderSelector(SocketAddress aSelf)
    : self_(std::move(aSelf))
  {
  }

  /** Sets the live daemons, including this one, and assigns the roles. */
  void SetMembers(const std::vector<MemberRecord>& aMembers);

  FeedRole GetRole() const { return role_; }

  /** @returns the daemon to read from, or nothing to read from the store. */
  std::optional<SocketAddress> SelectReader(Time aNow) const;

  /** Records a failure of a reader or of the reader's access to the store. */
  void RecordFailure(const SocketAddress& aReader, Time aNow);

  /** Records a peer's report that the store answers the peer. The peer is used
   * when no reader is usable, even if it is not a reader. */
  void RecordStoreAccess(const SocketAddress& aPeer, Time aNow);

  /** @returns the interval between this daemon's calls to a store that doesn't
   * answer. Zero for store readers, which detect the recovery for all
   * daemons. */
  Duration GetStoreRetryInterval() const;

private:
  /** Sets the role of this daemon and the daemons from which it may read. */
  void AssignRole(const std::vector<MemberRecord>& aStoreReaders,
                  const std::vector<MemberRecord>& aRelays);
  /** Sorts daemons by preference: first those of the own zone, and within a
   * zone in an order that differs between daemons, which spreads the load. */
  std::vector<SocketAddress> SortByPreference(
    std::vector<MemberRecord> aReaders) const;

  SocketAddress self_;
  AvailabilityZone zone_;
  /** The daemons from which this daemon may read, in order of preference. */
  std::vector<SocketAddress> readers_;
  std::map<SocketAddress, Time> failedAt_;
  FeedRole role_ = FeedRole::StoreReader;
  std::size_t memberCount_ = 0;
  /** The last daemon other than the readers that has reported that the store
   * answers it. */
  std::optional<SocketAddress> peerWithStoreAccess_;
  Time storeAccessReportedAt_;
};

} // namespace azurecross

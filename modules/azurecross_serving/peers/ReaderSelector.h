#pragma once

#include "../state/StateSource.h"

#include <azurecross_core/azurecross_core.h>

#include <map>
#include <optional>
#include <vector>

namespace azurecross {

/**
 * Selects the readers, which are the daemons that read from the store on behalf
 * of all, and the reader that this daemon uses. All daemons with the same list
 * of members select the same readers. A failed reader is skipped for a while.
 * Without a usable reader, a daemon uses another peer that has reported that
 * the store answers it, and without such a peer it calls the store directly.
 */
class ReaderSelector
{
public:
  explicit ReaderSelector(SocketAddress aSelf)
    : self_(std::move(aSelf))
  {
  }

  /** Sets the live daemons, including this one, and selects the readers. */
  void SetMembers(const std::vector<MemberRecord>& aMembers);

  /** @returns whether this daemon is a reader. */
  bool IsReader() const { return isReader_; }

  /** @returns the daemon to read from, or nothing to read from the store. */
  std::optional<SocketAddress> SelectReader(Time aNow) const;

  /** Records a failure of a reader or of the reader's access to the store. */
  void RecordFailure(const SocketAddress& aReader, Time aNow);

  /** Records a peer's report that the store answers the peer. The peer is used
   * when no reader is usable, even if it is not a reader. */
  void RecordStoreAccess(const SocketAddress& aPeer, Time aNow);

  /** @returns the interval between this daemon's calls to a store that doesn't
   * answer. Zero for readers, which detect the recovery for all daemons. */
  Duration GetStoreRetryInterval() const;

private:
  SocketAddress self_;
  /** The readers in this daemon's order of preference. */
  std::vector<SocketAddress> readers_;
  std::map<SocketAddress, Time> failedAt_;
  bool isReader_ = true;
  std::size_t memberCount_ = 0;
  /** The last daemon other than the readers that has reported that the store
   * answers it. */
  std::optional<SocketAddress> peerWithStoreAccess_;
  Time storeAccessReportedAt_;
};

} // namespace azurecross

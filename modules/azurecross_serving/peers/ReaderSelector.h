#pragma once

#include "../state/StateSource.h"

#include <azurecross_core/azurecross_core.h>

#include <map>
#include <optional>
#include <vector>

namespace azurecross {

/**
 * Chooses which daemons read from the store for all, and which of them this
 * daemon asks. All daemons with the same list of members choose the same
 * readers. A reader that fails is left alone for a while; without a usable
 * reader a daemon asks another one that says that it hears from the store, and
 * without such a one the store itself.
 */
class ReaderSelector
{
public:
  explicit ReaderSelector(SocketAddress aSelf)
    : self_(std::move(aSelf))
  {
  }

  void SetMembers(const std::vector<MemberRecord>& aMembers);

  /** @returns whether this daemon reads from the store. */
  bool IsReader() const { return isReader_; }

  /** @returns the reader to ask, or nothing to ask the store. */
  std::optional<SocketAddress> SelectReader(Time aNow) const;

  /** Takes the failure of a reader, or that it does not hear from the store. */
  void RecordFailure(const SocketAddress& aReader, Time aNow);

  /** Takes word of another daemon that it hears from the store. It is asked
   * even if it is no reader, when no reader can be used. */
  void RecordStoreAccess(const SocketAddress& aPeer, Time aNow);

  /** @returns the time between this daemon's own attempts at a store that does
   * not answer: readers find its return for all. */
  Duration GetStoreRetryInterval() const;

private:
  SocketAddress self_;
  /** Readers in the order in which this daemon asks them. */
  std::vector<SocketAddress> readers_;
  std::map<SocketAddress, Time> failedAt_;
  bool isReader_ = true;
  std::size_t members_ = 0;
  /** The last daemon, no reader, that said that it hears from the store. */
  std::optional<SocketAddress> storePeer_;
  Time storePeerHeardAt_;
};

} // namespace azurecross

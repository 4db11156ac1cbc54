#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azurecross {

/** Whether a backend server accepts new requests. */
enum class ServerState
{
  Ready,
  /** Finishes its current runs and then shuts down. */
  Draining,
};

inline constexpr NameTable<ServerState, 2> kServerStateNames{
  { { { ServerState::Ready, "ready" }, { ServerState::Draining, "draining" } } }
};

/** The registration of a backend server process. */
struct ServerRecord
{
  BackendServerId id_;
  PoolName pool_;
  SocketAddress address_;
  AvailabilityZone zone_;
  ServerState state_ = ServerState::Ready;
  /** Maximum number of concurrent requests. */
  std::uint32_t slots_ = 1;
  /** Remaining warm-up time after the start, as of the registration. */
  Duration remainingWarmUp_{};
  /** Start time, which identifies a restart under the same id; 0 if unknown. */
  std::int64_t startedUnixMs_ = 0;
  /** Grows with each registration of a process; a smaller one is older. */
  std::uint64_t sequence_ = 0;

  friend bool operator==(const ServerRecord&, const ServerRecord&) = default;
};

/** How an update changed the directory. */
enum class ServerChange
{
  None,
  Added,
  /** A new process under the same id: earlier statistics no longer apply. */
  Restarted,
  /** The server stopped accepting new requests. */
  BeganDraining,
  Updated,
  Removed,
};

inline constexpr NameTable<ServerChange, 6> kServerChangeNames{
  { { { ServerChange::None, "none" },
      { ServerChange::Added, "added" },
      { ServerChange::Restarted, "restarted" },
      { ServerChange::BeganDraining, "began_draining" },
      { ServerChange::Updated, "updated" },
      { ServerChange::Removed, "removed" } } }
};

/**
 * The registered backend servers.
 *
 * During an outage of the store, the registration of a live server expires; the
 * server registers again soon after the store is back. A server that is missing
 * after an outage is therefore kept for a grace period before its removal.
 *
 * A store that comes back from a backup holds older registrations. Those of a
 * process that has begun to leave since don't make it ready again.
 */
class ServerDirectory
{
public:
  /** @param aGracePeriod time for which a server may be missing after an outage
   * of the store. */
  explicit ServerDirectory(Duration aGracePeriod)
    : gracePeriod_(aGracePeriod)
  {
  }

  /** Adds or replaces a registration, which is no longer missing.
   * @returns the kind of change. */
  ServerChange Update(const ServerRecord& aRecord, Time aNow);

  /** Marks a server as draining after a notice from outside the store, until
   * its registration is read.
   * @returns whether the state changed. */
  bool MarkDraining(const BackendServerId& aId);

  /** Marks a server as draining that has stated in an answer that it leaves. A
   * registration of the same process that says otherwise is older.
   * @returns whether the state changed. */
  bool MarkLeaving(const BackendServerId& aId, Time aNow);

  /** Removes a server whose registration was removed in normal operation. */
  ServerChange Remove(const BackendServerId& aId, Time aNow);

  /** Starts the grace period of a server whose registration may have expired
   * because of an outage of the store. */
  void MarkMissing(const BackendServerId& aId, Time aNow);

  /**
   * Compares the directory with a complete listing.
   * @returns the known servers that the listing does not contain.
   */
  std::vector<BackendServerId> FindUnlisted(
    const std::set<BackendServerId>& aListed) const;

  /** Removes the servers whose grace period is over.
   * @returns the removed servers. */
  std::vector<BackendServerId> RemoveExpired(Time aNow);

  /** Makes the servers ready that were removed and came back with a backup of
   * the store, if nothing confirms within some time that they leave.
   * @returns their records. */
  std::vector<ServerRecord> ReleaseRestored(Time aNow);

  const ServerRecord* Find(const BackendServerId& aId) const;
  const std::map<BackendServerId, ServerRecord>& GetAll() const
  {
    return servers_;
  }

private:
  /** A server process that leaves. */
  struct Leaving
  {
    std::int64_t startedUnixMs_ = 0;
    /** Registrations of the process up to this one are outdated. */
    std::uint64_t lastSequence_ = 0;
    /** When it is forgotten. */
    Time until_;
    /** Whether only the removal of its registration says so. */
    bool isRemoved_ = false;
  };

  /** Remembers that a server process leaves, if a later one can be told from
   * it. */
  void RememberLeaving(const BackendServerId& aId, Leaving aLeaving);
  /** @returns whether a process has begun to leave since its registration. */
  bool IsOutdated(const ServerRecord& aRecord) const;

  Duration gracePeriod_;
  std::map<BackendServerId, ServerRecord> servers_;
  std::map<BackendServerId, Time> missingSince_;
  std::map<BackendServerId, Leaving> leaving_;
};

} // namespace azurecross

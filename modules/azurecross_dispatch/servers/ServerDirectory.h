#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azurecross {

/** Whether a backend server takes new work. */
enum class ServerState
{
  Ready,
  /** Finishes what it runs and leaves. */
  Draining,
};

inline constexpr NameTable<ServerState, 2> kServerStateNames{
  { { { ServerState::Ready, "ready" }, { ServerState::Draining, "draining" } } }
};

/** What one start of a backend server says of itself. */
struct ServerRecord
{
  BackendServerId id_;
  PoolName pool_;
  SocketAddress address_;
  AvailabilityZone zone_;
  ServerState state_ = ServerState::Ready;
  /** Requests that it runs at once. */
  std::uint32_t slots_ = 1;
  /** How much longer it stays slow after its start, when it said so. */
  Duration remainingWarmUp_{};
  /** Distinguishes starts under the same id; 0 if it did not say. */
  std::int64_t startedUnixMs_ = 0;

  friend bool operator==(const ServerRecord&, const ServerRecord&) = default;
};

/** How an update changed the directory. */
enum class ServerChange
{
  None,
  Added,
  /** Another start under the same id: what was learned is void. */
  Restarted,
  /** It stopped taking new work. */
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
 * A registration lapses while the store is down although its server lives, and
 * is back soon after the store's return. So after an outage a missing server
 * is kept for a while before it counts as gone.
 */
class ServerDirectory
{
public:
  /** @param aConfirmTime how long a server may be missing after an outage. */
  explicit ServerDirectory(Duration aConfirmTime)
    : confirmTime_(aConfirmTime)
  {
  }

  ServerChange Update(const ServerRecord& aRecord);

  /** Takes word of a server's leaving that did not come from the store.
   * @returns whether it is news. */
  bool MarkDraining(const BackendServerId& aId);

  /** Takes the removal of a registration in normal operation. */
  ServerChange Remove(const BackendServerId& aId);

  /** Takes a removal that an outage of the store may have caused. */
  void MarkMissing(const BackendServerId& aId, Time aNow);

  /**
   * Compares with a whole listing.
   * @returns the servers that it does not contain.
   */
  std::vector<BackendServerId> FindUnlisted(
    const std::set<BackendServerId>& aListed) const;

  /** @returns servers that stayed missing for the confirmation time, and
   * removes them. */
  std::vector<BackendServerId> RemoveExpired(Time aNow);

  const ServerRecord* Find(const BackendServerId& aId) const;
  const std::map<BackendServerId, ServerRecord>& GetAll() const
  {
    return servers_;
  }

private:
  Duration confirmTime_;
  std::map<BackendServerId, ServerRecord> servers_;
  std::map<BackendServerId, Time> missingSince_;
};

} // namespace azurecross

#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <vector>

namespace azurecross {

/**
 * Detects slow, stalled and unreachable backend servers of a group. Slowness is
 * detected by comparing a server's recent token gaps with its own baseline.
 *
 * An ejected backend server is readmitted after a delay that doubles with each
 * ejection. It may run one request at first, and twice as many after each
 * healthy second. At most a third of the group is ejected; further failing
 * servers are only marked as suspect and are used when no other is available.
 */
class HealthTracker
{
public:
  using ServerIndex = std::uint32_t;

  /** An ejection or a readmission. */
  struct Change
  {
    ServerIndex server_ = 0;
    bool isEjected_ = false;
  };

  /** Sets the number of known backend servers and of usable ones among them. */
  void SetServerCounts(std::size_t aKnown, std::size_t aUsable);

  /** Records that an idle backend server was sent a request, which starts the
   * stall timeout. */
  void ObserveFirstRequest(ServerIndex aServer, Time aNow);
  /** Records progress of a generation without measuring a token gap. */
  void ObserveProgress(ServerIndex aServer, Time aNow);
  /** Records the time between two tokens of a generation.
   * @param aRunning number of requests that ran on the backend server. */
  void ObserveTokenGap(ServerIndex aServer,
                       Duration aGap,
                       std::uint32_t aRunning,
                       Time aNow);
  /** Records that a backend server could not be reached. */
  void ObserveUnreachable(ServerIndex aServer, Time aNow);
  /** Sets the number of requests that run on a backend server, and how many of
   * them generate tokens. */
  void SetRunning(ServerIndex aServer,
                  std::uint32_t aRunning,
                  std::uint32_t aDecoding);

  /** Ejects failing backend servers and readmits recovered ones; appends each
   * change to `aChanges`. */
  void Tick(Time aNow, std::vector<Change>& aChanges);

  bool IsEjected(ServerIndex aServer) const
  {
    return servers_[aServer].isEjected_;
  }
  /** @returns whether a backend server fails but stays in use because a third
   * of the group is ejected already. */
  bool IsSuspect(ServerIndex aServer) const
  {
    return servers_[aServer].isSuspect_;
  }
  /** @returns the maximum number of requests on a recently readmitted backend
   * server; `UINT32_MAX` without a limit. */
  std::uint32_t GetReadmissionLimit(ServerIndex aServer) const
  {
    return servers_[aServer].readmissionLimit_;
  }

private:
  struct ServerHealth
  {
    /** Token gaps, normalized to a single running request. */
    double recentGapSeconds_ = 0.0;
    double baselineGapSeconds_ = 0.0;
    std::uint32_t gapSamples_ = 0;
    Time lastGapAt_{};
    Time lastProgressAt_{};
    std::uint32_t runningRequests_ = 0;
    std::uint32_t decodingRequests_ = 0;
    bool isUnreachable_ = false;
    bool isEjected_ = false;
    bool isSuspect_ = false;
    std::uint32_t readmissionLimit_ = UINT32_MAX;
    /** Ejections since the last long healthy period; sets the delay. */
    std::uint32_t recentEjections_ = 0;
    Time ejectedAt_{};
    Time limitRaisedAt_{};
  };

  bool IsFailing(const ServerHealth& aHealth, Time aNow) const;
  void Eject(ServerHealth& aHealth, Time aNow) const;
  void UpdateRecovery(ServerHealth& aHealth, Time aNow) const;
  bool CanReadmit(const ServerHealth& aHealth, Time aNow) const;

  std::vector<ServerHealth> servers_;
  std::size_t usableServers_ = 0;
  std::size_t ejectedServers_ = 0;
};

} // namespace azurecross

#pragma once

#include "../servers/ServerDirectory.h"

#include <azurecross_core/azurecross_core.h>

#include <map>
#include <optional>
#include <vector>

namespace azurecross {

/** What an answer of a backend server says about the rate that it accepts from
 * all daemons together. */
struct ServerLimit
{
  BackendServerId server_;
  /** Nothing if the server states no limit any more. */
  std::optional<double> requestsPerSecond_;
  /** When the server is known to have stated it. */
  Time statedAt_;
};

/** A change of what is known about the limit of a server. */
struct ServerLimitChange
{
  BackendServerId server_;
  std::optional<double> before_;
  std::optional<double> after_;
  bool isFromPeer_ = false;
};

/**
 * The limits that backend servers state in their answers, as seen by this
 * daemon and reported by its peers. The newest statement about a server counts,
 * so late and repeated reports change nothing.
 */
class ServerLimitTable
{
public:
  /** Number of statements in a report. */
  static constexpr std::size_t kMaxReportedLimits = 64;

  /** Records the limit in an answer, or that it has none.
   * @param aSentAt when the request was sent. An answer without a limit may be
   * older than one with a limit that arrived first. */
  void RecordAnswer(const BackendServerId& aServer,
                    std::optional<double> aRequestsPerSecond,
                    Time aSentAt,
                    Time aNow);
  /** Adds a statement that a peer has reported. */
  void Merge(const ServerLimit& aLimit);
  /** Forgets the limit of a server that has ended or started again. */
  void Forget(const BackendServerId& aServer, Time aNow);

  /** @returns the rate to keep to, or nothing if the server states no limit. */
  std::optional<double> Find(const BackendServerId& aServer) const;
  /** @returns the last statement about a server. */
  std::optional<ServerLimit> FindStatement(
    const BackendServerId& aServer) const;

  /** @returns the newest statements, for the report to the peers. */
  std::vector<ServerLimit> GetNewest(Time aNow) const;
  /** @returns the changes since the last call. */
  std::vector<ServerLimitChange> TakeChanges();
  /** @returns the number of servers that state a limit. */
  std::size_t CountLimited() const { return limitedCount_; }
  /** Drops old statements. */
  void Tick(Time aNow);

private:
  void Set(const ServerLimit& aLimit, bool aIsFromPeer);

  std::map<BackendServerId, ServerLimit> limits_;
  std::size_t limitedCount_ = 0;
  std::vector<ServerLimitChange> changes_;
};

} // namespace azurecross

#pragma once

#include "../servers/ServerDirectory.h"

#include <azurecross_core/azurecross_core.h>

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace azurecross {

/** How many requests a cold server takes, and until when it is cold. */
struct WarmUp
{
  double requestsPerSecond_ = 0.0;
  Time until_;
};

/**
 * The backend servers that are cold and take fewer requests until they are
 * warm.
 */
class WarmUpTable
{
public:
  /** A longer remaining time is taken for an error and shortened. */
  static constexpr Duration kMaxTime = std::chrono::minutes(1);
  /** Number of servers in a report. */
  static constexpr std::size_t kMaxReported = 64;

  /** Records that a server is cold. A shorter remaining time than the known one
   * changes nothing.
   * @returns whether the server was not known to be cold. */
  bool Set(const BackendServerId& aServer,
           double aRequestsPerSecond,
           Duration aRemaining,
           Time aNow);
  /** Forgets a server that has ended. */
  void Forget(const BackendServerId& aServer) { warmUps_.erase(aServer); }
  /** @returns the warm-up in progress, if the server is cold. */
  std::optional<WarmUp> Find(const BackendServerId& aServer, Time aNow) const;
  std::size_t CountCold() const { return warmUps_.size(); }
  /** @returns the servers that stay cold for a while, for the report to the
   * peers. */
  std::vector<std::pair<BackendServerId, WarmUp>> GetCold(Time aNow) const;
  /** Drops the servers that are warm. */
  void Tick(Time aNow);

private:
  std::map<BackendServerId, WarmUp> warmUps_;
};

} // namespace azurecross

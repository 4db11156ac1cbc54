#pragma once

#include "TestPool.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace azurecross {

/** A request that reaches the server of a `LimiterFleet`. */
struct LimitedSend
{
  Time time_;
  std::size_t daemon_ = 0;
};

/**
 * Daemons that all have more requests for one server than it takes. Messages
 * between them arrive at once, except those of a silenced daemon.
 */
class LimiterFleet
{
public:
  inline static const BackendServerId kServer{ "s" };

  explicit LimiterFleet(std::size_t aDaemons);

  std::size_t CountDaemons() const { return limiters_.size(); }
  ServerLimiter& GetLimiter(std::size_t aDaemon) { return *limiters_[aDaemon]; }
  /** Configures the limiters of all daemons. */
  void ForEach(const std::function<void(ServerLimiter&)>& aConfigure);

  /** @returns the daemon that issues the permits. */
  std::size_t FindIssuer();
  /** Stops the delivery of messages to and from a daemon. */
  void Silence(std::size_t aDaemon) { silent_ = names_[aDaemon]; }
  /** Sets the rank of the requests of a daemon. */
  void SetRank(std::size_t aDaemon, int aRank) { ranks_[aDaemon] = aRank; }

  /** Plays this time; each daemon sends whenever it may, every 10 ms. */
  std::vector<LimitedSend> Play(Duration aTime);
  Time GetNow() const { return now_; }

private:
  bool TrySend(std::size_t aDaemon);
  void DeliverMessages();
  void Deliver(const PermitMessage& aMessage);

  Time now_ = kStart;
  std::string silent_;
  std::vector<std::string> names_;
  std::vector<int> ranks_;
  std::vector<std::unique_ptr<ServerLimiter>> limiters_;
};

/** @returns the most requests within any time of this length. */
std::size_t
CountMostWithin(const std::vector<LimitedSend>& aSends, Duration aTime);

} // namespace azurecross

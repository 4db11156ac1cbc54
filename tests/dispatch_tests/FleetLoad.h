#pragma once

#include "TestPool.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace azurecross {

/** Many daemons that place generations on the same engines. */
struct FleetLoad
{
  int daemons_ = 60;
  int engines_ = 40;
  /** Long generations (3,000 tokens in, 752 out) and short ones (2,200 in,
   * 12 out) in a second. */
  double longPerSecond_ = 26.0;
  double shortPerSecond_ = 30.0;
  /** Time between regular load reports of a daemon. */
  Duration reportInterval_ = std::chrono::milliseconds(650);
  /** Whether a report also follows each placement. */
  bool reportsPlacements_ = true;
  /** Every so often a sixth of the engines is replaced by empty ones. */
  Duration replacementInterval_ = std::chrono::milliseconds(3300);
  double seconds_ = 40.0;
  std::uint64_t seed_ = 1;
};

/** What the callers of a fleet got. */
struct FleetOutcome
{
  int shorts_ = 0;
  /** Short generations whose first event came within 1.5 s. */
  int shortsInTime_ = 0;
  int refused_ = 0;

  double GetShare() const
  {
    return static_cast<double>(shortsInTime_) / std::max(shorts_, 1);
  }
};

/**
 * Plays a load on boards and placements of their own, one for each daemon, on
 * a virtual clock. Engines read one prompt after the other, 7.5 tokens a
 * millisecond at the usual speed; their speeds are 0.6, 1 and 1.6.
 */
class FleetPlay
{
public:
  explicit FleetPlay(const FleetLoad& aLoad);

  FleetOutcome Play();

private:
  struct Daemon
  {
    std::string name_;
    ServerLoadTracker loadTracker_;
    std::unique_ptr<ServerPlacement> placement_;
    ReportRateLimiter reportLimiter_{ 60.0, 240.0 };
  };

  struct Engine
  {
    std::string id_;
    double speed_ = 1.0;
    Time prefillEnd_ = kStart;
    int running_ = 0;
  };

  struct Event
  {
    Time time_;
    std::uint64_t number_ = 0;
    std::function<void()> action_;

    bool operator>(const Event& aOther) const
    {
      return std::pair(time_, number_) >
             std::pair(aOther.time_, aOther.number_);
    }
  };

  void Schedule(Time aTime, std::function<void()> aAction);
  void AddEngine(std::size_t aPlace);
  void ReplaceEngines();
  void ScheduleArrival(bool aIsShort);
  void Place(Daemon& aDaemon, bool aIsShort);
  void Run(Daemon& aDaemon,
           Engine& aEngine,
           const PlacementRequest& aRequest,
           std::uint32_t aOutput);
  void Report(const Daemon& aDaemon);
  void ScheduleReport(std::size_t aDaemon);

  FleetLoad load_;
  Random random_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  /** Engines that were replaced stay until their last run ends. */
  std::deque<Engine> engines_;
  std::vector<Engine*> places_;
  std::map<std::string, Engine*> byId_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t nextEvent_ = 0;
  std::uint64_t nextEngine_ = 0;
  Time now_ = kStart;
  FleetOutcome outcome_;
};

} // namespace azurecross

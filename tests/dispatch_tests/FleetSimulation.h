#pragma once

#include "EventQueue.h"
#include "TestPool.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace azurecross {

/** Configuration of a simulated fleet: many daemons that place generations on
 * the same engines. */
struct FleetConfig
{
  int daemons_ = 60;
  int engines_ = 40;
  /** Daemons and engines are spread evenly over the zones. Daemons report to
   * their own zone, which sends summaries to the others. */
  int zones_ = 1;
  /** Arrival rate at the daemons of the first zone, relative to the others. */
  double firstZoneWeight_ = 1.0;
  /** Arrival rates of long generations (3,000 prompt tokens, 752 output tokens)
   * and short ones (2,200 prompt tokens, 12 output tokens). */
  double longPerSecond_ = 26.0;
  double shortPerSecond_ = 30.0;
  /** Mean time between regular load reports of a daemon. */
  Duration reportInterval_ = std::chrono::milliseconds(650);
  /** Whether daemons also send a report after each placement. */
  bool reportsPlacements_ = true;
  /** Interval at which a sixth of the engines is replaced by empty ones. */
  Duration replacementInterval_ = std::chrono::milliseconds(3300);
  double seconds_ = 40.0;
  std::uint64_t seed_ = 1;
};

/** Results for the callers of a simulated fleet. */
struct FleetOutcome
{
  int shortRequests_ = 0;
  /** Short generations whose first event arrived within 1.5 s. */
  int shortRequestsInTime_ = 0;
  int refused_ = 0;
  int placed_ = 0;
  /** Generations that run in another zone than their daemon. */
  int placedInOtherZone_ = 0;

  /** @returns the share of short generations that started in time. */
  double GetShareInTime() const
  {
    return static_cast<double>(shortRequestsInTime_) /
           std::max(shortRequests_, 1);
  }
};

/**
 * Simulates a fleet on a virtual clock, with a separate load tracker and
 * placement for each daemon. Engines prefill one prompt after the other, at 7.5
 * tokens per millisecond times their speed, which is 0.6, 1 or 1.6.
 */
class FleetSimulation
{
public:
  explicit FleetSimulation(const FleetConfig& aConfig);

  /** Runs the simulation for the configured time and returns the results. */
  FleetOutcome Simulate();

private:
  struct Daemon
  {
    std::string name_;
    int zone_ = 0;
    ServerLoadTracker loadTracker_;
    ServerLimiter limiter_{ 1 };
    std::unique_ptr<ServerPlacement> placement_;
    ReportRateLimiter reportLimiter_{ 60.0, 240.0 };
  };

  struct Engine
  {
    std::string id_;
    int zone_ = 0;
    double speed_ = 1.0;
    Time prefillEnd_ = kStart;
    int running_ = 0;
  };

  void Schedule(Time aTime, std::function<void()> aAction);
  void AddEngine(std::size_t aIndex);
  void ReplaceEngines();
  void ScheduleArrival(bool aIsShort);
  void Place(Daemon& aDaemon, bool aIsShort);
  void StartRun(Daemon& aDaemon,
                Engine& aEngine,
                const PlacementRequest& aRequest,
                std::uint32_t aOutput);
  void SendReport(const Daemon& aDaemon);
  void ScheduleReport(std::size_t aDaemon);
  /** Sends the load of each zone to the daemons of the others. */
  void SendSummaries();
  /** @returns the daemon at which the next request arrives. */
  Daemon& DrawDaemon();

  FleetConfig config_;
  Random random_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  /** All engines; replaced ones are kept because their runs may still end. */
  std::deque<Engine> engines_;
  std::vector<Engine*> currentEngines_;
  std::map<std::string, Engine*> enginesById_;
  EventQueue events_;
  std::uint64_t nextEngineNumber_ = 0;
  Time now_ = kStart;
  FleetOutcome outcome_;
};

} // namespace azurecross

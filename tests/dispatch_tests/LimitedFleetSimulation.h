#pragma once

#include "EventQueue.h"
#include "TestPool.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace azurecross {

/** Configuration of a simulated fleet whose servers limit their rate. */
struct LimitedFleetConfig
{
  int daemons_ = 195;
  int zones_ = 5;
  int servers_ = 62;
  /** The limit that each server states, in requests per second. */
  double limit_ = 1.0;
  double requestsPerSecond_ = 40.0;
  double seconds_ = 20.0;
  /** Whether the daemons read the limit in the answers. */
  bool readsLimits_ = true;
  double messageLoss_ = 0.02;
  /** Share of the daemons that are killed at this time, and restart without
   * state. */
  double killedShare_ = 0.0;
  double killAt_ = 8.0;
  double restartSeconds_ = 2.0;
  /** Daemons that are added at this time. Each daemon reads the list that has
   * them at some time up to the delay after that. */
  int addedDaemons_ = 0;
  double addAt_ = 8.0;
  double listDelaySeconds_ = 6.0;
  /** Time for which the first zone is cut off from the others. */
  double cutAt_ = 0.0;
  double cutUntil_ = 0.0;
  std::uint64_t seed_ = 1;
};

/** Results of a simulated fleet. */
struct LimitedFleetOutcome
{
  int requests_ = 0;
  int served_ = 0;
  int refused_ = 0;
  /** The most arrivals at one server within 4 s, from 3 s after it first stated
   * its limit. Only daemons count that have had an answer with the limit for
   * half a second since their start. */
  int mostIn4Seconds_ = 0;
  /** The mean rate of all servers together, in the same time. */
  double meanRate_ = 0.0;
  /** Messages about permits for each request. */
  double messagesPerRequest_ = 0.0;
  double longestWait_ = 0.0;
};

/**
 * Simulates daemons that send plain calls to servers which state a limit from
 * the start. Messages between daemons take 1 to 4 ms and some are lost; each
 * daemon tells three others every 0.3 s what it knows about limits.
 */
class LimitedFleetSimulation
{
public:
  explicit LimitedFleetSimulation(const LimitedFleetConfig& aConfig);
  LimitedFleetOutcome Simulate();

private:
  struct Daemon
  {
    std::string name_;
    int zone_ = 0;
    bool isAlive_ = true;
    /** Whether the list of members has the daemon. */
    bool isListed_ = true;
    /** When the daemon first got an answer of each server. */
    std::map<BackendServerId, Time> toldAt_;
    std::unique_ptr<ServerLoadTracker> tracker_;
    std::unique_ptr<ServerLimiter> limiter_;
    std::unique_ptr<RequestQuarantine> quarantine_;
    std::unique_ptr<Dispatcher> dispatcher_;
  };

  struct Arrival
  {
    Time time_;
    /** Whether the sender had been told the limit. */
    bool isFromTold_ = false;
  };

  void Schedule(Duration aDelay, std::function<void()> aAction);
  void StartDaemon(Daemon& aDaemon);
  std::vector<PermitPeer> ListMembers() const;
  void SetMembers(const Daemon& aDaemon,
                  const std::vector<PermitPeer>& aMembers);
  void SetMembersOfAll();
  void AddDaemons();
  void ScheduleArrival();
  void ScheduleTick(std::size_t aDaemon);
  void ScheduleGossip(std::size_t aDaemon);
  void Apply(Daemon& aDaemon, DispatchDecisions aDecisions);
  void Send(Daemon& aDaemon, const StartDecision& aStart);
  void SendMessages(Daemon& aDaemon);
  void Kill();
  bool IsCut(int aZone, int aOtherZone) const;
  LimitedFleetOutcome Evaluate();

  LimitedFleetConfig config_;
  Random random_;
  Time now_ = kStart;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::map<BackendServerId, std::vector<Arrival>> arrivals_;
  EventQueue events_;
  TicketId nextTicket_ = 1;
  std::uint64_t messages_ = 0;
  LimitedFleetOutcome outcome_;
};

} // namespace azurecross

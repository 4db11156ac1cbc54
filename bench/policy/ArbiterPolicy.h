#pragma once

#include "Decision.h"
#include "DecisionTimer.h"

#include <deque>
#include <unordered_map>

namespace azurecross::bench {

/**
 * Runs the product's arbiters in one of the arrangements that were weighed:
 * one per group, one per backend server, or one per entry.
 */
class ArbiterPolicy
{
public:
  explicit ArbiterPolicy(const PolicyOptions& aOptions);

  /** Replaces the list of live backend servers. */
  void SetLive(const std::vector<bool>& aLive,
               Time aNow,
               Decisions& aDecisions);
  void Enqueue(std::size_t aRequest,
               const GrantRequest& aGrantRequest,
               std::size_t aEntry,
               std::size_t aZone,
               Time aNow,
               Decisions& aDecisions);
  void ReportProgress(std::size_t aRequest,
                      std::uint32_t aTokens,
                      Time aNow,
                      Decisions& aDecisions);
  void Release(std::size_t aRequest,
               GrantOutcome aOutcome,
               Time aNow,
               Decisions& aDecisions);
  void ReportLoad(const BackendServerLoad& aLoad,
                  Time aNow,
                  Decisions& aDecisions);
  void ReportCacheEvent(const CacheEvent& aEvent, Time aNow);
  void Tick(Time aNow, Decisions& aDecisions);

  /** Loses the home entry: the other entries use fixed shares. The caller
   * enqueues again the requests that were queued there. */
  void LoseHome(Time aNow);
  /** A new home entry takes over with the in-flight lists. The caller
   * enqueues again all queued requests. */
  void RecoverHome(const std::vector<InFlightGrant>& aGrants, Time aNow);

  void SetCut(bool aIsCut) { isCut_ = aIsCut; }
  const DecisionTimer& GetTimer() const { return timer_; }
  GrantId FindGrant(std::size_t aRequest) const
  {
    return placed_.at(aRequest).grant_;
  }
  std::vector<std::string> Explain(std::size_t aRequest) const;

private:
  struct Home
  {
    Arbiter arbiter_;
    std::vector<std::size_t> servers_;
    std::size_t zone_ = 0;
    GroupSummary summary_;
  };
  struct Placed
  {
    std::size_t home_ = 0;
    GrantId grant_;
  };

  void AddHome(std::vector<std::size_t> aServers,
               std::size_t aZone,
               std::uint32_t aMembers);
  void AddHomesPerGroup();
  void AddHomesPerServer();
  void AddHomesPerEntry(std::uint32_t aMembers);
  void Describe(Home& aHome, Time aNow);
  std::size_t ChooseHome(std::size_t aEntry, std::size_t aZone, Rank, Time);
  void Deliver(std::size_t aHome, Decisions& aDecisions);

  PolicyOptions options_;
  Random random_;
  std::vector<bool> live_;
  std::deque<Home> homes_;
  std::vector<ZoneRouter> routers_;
  std::unordered_map<std::size_t, Placed> placed_;
  ArbiterActions actions_;
  DecisionTimer timer_;
  std::uint64_t nextSeed_ = 0;
  Time lastSummary_{};
  bool isPerEntry_ = false;
  bool isCut_ = false;
};

} // namespace azurecross::bench

#pragma once

#include "Decision.h"
#include "DecisionTimer.h"

#include <unordered_map>

namespace azurecross::bench {

/**
 * The two baselines. Both send every request on at once and queue nothing:
 * round robin takes the engines in turn, least outstanding takes the one with
 * the fewest requests in progress. The latter is given the exact count over
 * all entries, which is the best case for it.
 */
class BaselinePolicy
{
public:
  explicit BaselinePolicy(const PolicyOptions& aOptions);

  void SetLive(const std::vector<bool>& aLive,
               Time aNow,
               Decisions& aDecisions);
  void Enqueue(std::size_t aRequest,
               const GrantRequest& aGrantRequest,
               std::size_t aEntry,
               std::size_t aZone,
               Time aNow,
               Decisions& aDecisions);
  void ReportProgress(std::size_t, std::uint32_t, Time, Decisions&) {}
  void Release(std::size_t aRequest,
               GrantOutcome aOutcome,
               Time aNow,
               Decisions& aDecisions);
  void ReportLoad(const BackendServerLoad&, Time, Decisions&) {}
  void ReportCacheEvent(const CacheEvent&, Time) {}
  void Tick(Time, Decisions&) {}
  void LoseHome(Time) {}
  void RecoverHome(const std::vector<InFlightGrant>&, Time) {}
  void SetCut(bool) {}
  const DecisionTimer& GetTimer() const { return timer_; }
  GrantId FindGrant(std::size_t) const { return {}; }

private:
  std::size_t Choose(const GrantRequest& aGrantRequest, std::size_t aZone);

  PolicyOptions options_;
  std::vector<bool> live_;
  std::vector<std::size_t> outstanding_;
  std::unordered_map<std::size_t, std::size_t> servers_;
  std::size_t next_ = 0;
  DecisionTimer timer_;
};

} // namespace azurecross::bench

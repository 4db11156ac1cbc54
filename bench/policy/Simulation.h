#pragma once

#include "Decision.h"
#include "Figures.h"

#include <cstdint>
#include <deque>
#include <map>
#include <queue>
#include <vector>

namespace azurecross::bench {

/** What the simulation needs from a policy. */
template<typename Policy>
concept RunnablePolicy = requires(Policy aPolicy,
                                  const GrantRequest& aRequest,
                                  const BackendServerLoad& aLoad,
                                  std::size_t aIndex,
                                  Time aNow,
                                  Decisions& aDecisions)
{
  aPolicy.Enqueue(aIndex, aRequest, aIndex, aIndex, aNow, aDecisions);
  aPolicy.ReportProgress(aIndex, 0U, aNow, aDecisions);
  aPolicy.Release(aIndex, GrantOutcome::Completed, aNow, aDecisions);
  aPolicy.ReportLoad(aLoad, aNow, aDecisions);
  aPolicy.Tick(aNow, aDecisions);
  aPolicy.GetTimer();
};

/**
 * Drives a policy and the fake engines through one scenario on a virtual
 * clock. Messages between callers, entries and engines take no time here; the
 * figures add their constant delay.
 */
template<RunnablePolicy Policy>
class Simulation
{
public:
  Simulation(const Scenario& aScenario,
             const std::vector<Arrival>& aArrivals,
             const PolicyOptions& aOptions);

  Figures Run();

private:
  enum class EventKind
  {
    Arrival,
    Step,
    Deadline,
    Progress,
    Load,
    Tick,
    Fault,
    /** The list of live VMs reflects the last death or return. */
    VmList,
  };

  struct Event
  {
    Time time_;
    std::uint64_t number_ = 0;
    EventKind kind_ = EventKind::Tick;
    std::size_t index_ = 0;

    bool operator>(const Event& aOther) const
    {
      return std::pair(time_, number_) >
             std::pair(aOther.time_, aOther.number_);
    }
  };

  struct EngineState
  {
    FakeEngine engine_;
    bool isAlive_ = true;
    bool isStepping_ = false;
    Time stalledUntil_{};
    std::uint64_t cacheSequence_ = 0;
    /** Number of the step event that counts; others are from before a death.
     */
    std::uint64_t generation_ = 0;
  };

  struct Progress
  {
    Time due_;
    std::size_t request_ = 0;
    std::uint32_t tokens_ = 0;
  };

  struct LoadReport
  {
    Time due_;
    BackendServerLoad load_;
    CacheEvent cache_;
    bool isCacheLost_ = false;
  };

  void Schedule(Time aTime, EventKind aKind, std::size_t aIndex);
  void Handle(const Event& aEvent);
  void SetState(std::size_t aRequest, StreamState aState);
  void Ask(std::size_t aRequest);
  void ApplyDecisions();
  void Submit(std::size_t aRequest, std::size_t aServer);
  void Retry(std::size_t aRequest, std::size_t aServer);
  void StartStep(std::size_t aServer);
  void FinishStep(std::size_t aServer);
  void TakeToken(const EngineToken& aToken);
  void TakeDeadline(std::size_t aRequest);
  void CollectProgress();
  void CollectLoad();
  void TakeFault(const Fault& aFault);
  void KillEngine(std::size_t aServer);
  void CutZones();
  void LoseHome();
  void RecoverHome();
  void AskQueuedAgain();
  GrantRequest MakeGrantRequest(std::size_t aRequest) const;

  const Scenario& scenario_;
  const std::vector<Arrival>& arrivals_;
  Policy policy_;
  Recorder recorder_;
  Random random_;
  std::vector<EngineState> engines_;
  std::vector<Stream> streams_;
  std::vector<std::size_t> running_;
  /** Queued requests by zone and rank. */
  std::map<std::pair<std::size_t, Rank>, std::size_t> queued_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::deque<Progress> progress_;
  std::deque<LoadReport> loads_;
  std::vector<EngineToken> tokens_;
  Decisions decisions_;
  std::uint64_t nextEvent_ = 0;
  Time now_{};
};

} // namespace azurecross::bench

#include "Simulation.h"

#include "ArbiterPolicy.h"
#include "BaselinePolicy.h"

namespace azurecross::bench {
namespace {

/** The platform's VM list shows a death or a return after this. */
constexpr Duration kVmListLag = std::chrono::seconds(3);

} // namespace

template<RunnablePolicy Policy>
void
Simulation<Policy>::TakeFault(const Fault& aFault)
{
  EngineState& state = engines_[aFault.server_];
  switch (aFault.kind_) {
    case FaultKind::ServerDeath:
      KillEngine(aFault.server_);
      break;
    case FaultKind::EngineReturn:
      state.isAlive_ = true;
      Schedule(now_ + kVmListLag, EventKind::VmList, 0);
      break;
    case FaultKind::EngineSpeed:
      state.engine_.SetSpeed(
        scenario_.workload_.engines_[aFault.server_].speed_ * aFault.factor_);
      break;
    case FaultKind::EngineStall:
      state.stalledUntil_ = now_ + FromSeconds(aFault.factor_);
      break;
    case FaultKind::ZoneCut:
      policy_.SetCut(true);
      CutZones();
      break;
    case FaultKind::ZoneHeal:
      policy_.SetCut(false);
      break;
    case FaultKind::HomeLoss:
      LoseHome();
      break;
    case FaultKind::HomeRecovery:
      RecoverHome();
  }
}

template<RunnablePolicy Policy>
void
Simulation<Policy>::KillEngine(std::size_t aServer)
{
  EngineState& state = engines_[aServer];
  state.isAlive_ = false;
  state.isStepping_ = false;
  state.generation_ = UINT64_MAX;
  state.engine_.Clear();
  Schedule(now_ + kVmListLag, EventKind::VmList, 0);
  for (std::size_t request : std::vector<std::size_t>(running_)) {
    Stream& stream = streams_[request];
    if (stream.state_ != StreamState::Running || stream.server_ != aServer) {
      continue;
    }
    if (stream.tokens_ == 0) {
      Retry(request, aServer);
      continue;
    }
    SetState(request, StreamState::Lost);
    policy_.Release(request, GrantOutcome::Failed, now_, decisions_);
  }
}

template<RunnablePolicy Policy>
void
Simulation<Policy>::CutZones()
{
  // Streams between zones break; those without a token are tried again in
  // the caller's zone.
  for (std::size_t request : std::vector<std::size_t>(running_)) {
    Stream& stream = streams_[request];
    if (stream.state_ != StreamState::Running ||
        scenario_.engineZones_[stream.server_] == arrivals_[request].zone_) {
      continue;
    }
    engines_[stream.server_].engine_.Cancel(request);
    if (stream.tokens_ == 0) {
      Retry(request, stream.server_);
      continue;
    }
    SetState(request, StreamState::Lost);
    policy_.Release(request, GrantOutcome::Failed, now_, decisions_);
  }
}

template<RunnablePolicy Policy>
void
Simulation<Policy>::LoseHome()
{
  // The home entry is entry 0; its callers' streams end with it.
  for (std::size_t request = 0; request < streams_.size(); ++request) {
    Stream& stream = streams_[request];
    const bool isOpen = stream.state_ == StreamState::Queued ||
                        stream.state_ == StreamState::Running;
    if (!isOpen || arrivals_[request].entry_ != 0) {
      continue;
    }
    if (stream.state_ == StreamState::Running) {
      engines_[stream.server_].engine_.Cancel(request);
    }
    SetState(request, StreamState::Lost);
    policy_.Release(request, GrantOutcome::Cancelled, now_, decisions_);
  }
  policy_.LoseHome(now_);
  AskQueuedAgain();
}

template<RunnablePolicy Policy>
void
Simulation<Policy>::RecoverHome()
{
  std::vector<InFlightGrant> grants;
  std::uint64_t number = 1;
  for (std::size_t request : running_) {
    const Stream& stream = streams_[request];
    if (stream.state_ == StreamState::Running) {
      grants.push_back({ GrantId(number++),
                         MakeGrantRequest(request),
                         MakeServerId(stream.server_),
                         stream.tokens_ });
    }
  }
  policy_.RecoverHome(grants, now_);
  AskQueuedAgain();
}

template<RunnablePolicy Policy>
void
Simulation<Policy>::AskQueuedAgain()
{
  if constexpr (std::is_same_v<Policy, BaselinePolicy>) {
    return;
  }
  for (std::size_t request = 0; request < streams_.size(); ++request) {
    if (streams_[request].state_ == StreamState::Queued) {
      Ask(request);
    }
  }
}

// The rest of the class is instantiated in Simulation.cpp.
template void
Simulation<ArbiterPolicy>::TakeFault(const Fault& aFault);
template void
Simulation<BaselinePolicy>::TakeFault(const Fault& aFault);

} // namespace azurecross::bench

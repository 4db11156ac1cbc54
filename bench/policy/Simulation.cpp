#include "Simulation.h"

#include "ArbiterPolicy.h"
#include "BaselinePolicy.h"

#include <algorithm>
#include <utility>

namespace azurecross::bench {
namespace {

constexpr Duration kProgressInterval = std::chrono::milliseconds(250);
constexpr Duration kLoadInterval = std::chrono::milliseconds(500);
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
/** Attempts per request before the caller gets an error. */
constexpr std::size_t kMaximumAttempts = 4;
/** Share of cache events that never arrive. */
constexpr double kLostCacheEvents = 0.05;

} // namespace

template<RunnablePolicy Policy>
Simulation<Policy>::Simulation(const Scenario& aScenario,
                               const std::vector<Arrival>& aArrivals,
                               const PolicyOptions& aOptions)
  : scenario_(aScenario)
  , arrivals_(aArrivals)
  , policy_(aOptions)
  , recorder_(aScenario, aArrivals)
  , random_(aOptions.seed_ + 17)
  , streams_(aArrivals.size())
{
  for (const EngineParameters& parameters : aScenario.workload_.engines_) {
    engines_.push_back({ FakeEngine(parameters) });
  }
  for (std::size_t index = 0; index < aArrivals.size(); ++index) {
    Schedule(aArrivals[index].time_, EventKind::Arrival, index);
  }
  for (std::size_t index = 0; index < aScenario.faults_.size(); ++index) {
    Schedule(Time(FromSeconds(aScenario.faults_[index].seconds_)),
             EventKind::Fault,
             index);
  }
  Schedule(Time(kProgressInterval), EventKind::Progress, 0);
  Schedule(Time(kLoadInterval), EventKind::Load, 0);
  Schedule(Time(kTickInterval), EventKind::Tick, 0);
}

template<RunnablePolicy Policy>
Figures
Simulation<Policy>::Run()
{
  const Time end(FromSeconds(scenario_.durationSeconds_));
  while (!events_.empty() && events_.top().time_ < end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.time_;
    Handle(event);
  }
  Figures figures = recorder_.Compute(streams_);
  for (const EngineState& state : engines_) {
    figures.preemptions_ += state.engine_.CountPreemptions();
  }
  figures.decisionP50_ = policy_.GetTimer().ComputeQuantile(0.5);
  figures.decisionP99_ = policy_.GetTimer().ComputeQuantile(0.99);
  return figures;
}

template<RunnablePolicy Policy>
void
Simulation<Policy>::Schedule(Time aTime, EventKind aKind, std::size_t aIndex)
{
  events_.push({ aTime, nextEvent_++, aKind, aIndex });
}

template<RunnablePolicy Policy>
void
Simulation<Policy>::Handle(const Event& aEvent)
{
  switch (aEvent.kind_) {
    case EventKind::Arrival:
      SetState(aEvent.index_, StreamState::Queued);
      Schedule(now_ + arrivals_[aEvent.index_].deadline_,
               EventKind::Deadline,
               aEvent.index_);
      Ask(aEvent.index_);
      break;
    case EventKind::Step:
      if (engines_[aEvent.index_].generation_ == aEvent.number_) {
        FinishStep(aEvent.index_);
      }
      break;
    case EventKind::Deadline:
      TakeDeadline(aEvent.index_);
      break;
    case EventKind::Progress:
      CollectProgress();
      Schedule(now_ + kProgressInterval, EventKind::Progress, 0);
      break;
    case EventKind::Load:
      CollectLoad();
      Schedule(now_ + kLoadInterval, EventKind::Load, 0);
      break;
    case EventKind::Tick:
      policy_.Tick(now_, decisions_);
      Schedule(now_ + kTickInterval, EventKind::Tick, 0);
      break;
    case EventKind::Fault:
      TakeFault(scenario_.faults_[aEvent.index_]);
      break;
    case EventKind::VmList: {
      std::vector<bool> live;
      for (const EngineState& state : engines_) {
        live.push_back(state.isAlive_);
      }
      policy_.SetLive(live, now_, decisions_);
    }
  }
  ApplyDecisions();
}

template<RunnablePolicy Policy>
GrantRequest
Simulation<Policy>::MakeGrantRequest(std::size_t aRequest) const
{
  const Arrival& arrival = arrivals_[aRequest];
  const RouteProfile& profile = arrival.rank_ == Rank::Urgent
                                  ? scenario_.workload_.urgent_
                                  : scenario_.workload_.lesser_;
  GrantRequest request;
  request.request_ = MakeRequestId(aRequest);
  request.entry_ = EntryId("e" + std::to_string(arrival.entry_));
  request.customer_ = CustomerId("c" + std::to_string(arrival.customer_));
  request.rank_ = arrival.rank_;
  request.route_ = RouteName(profile.name_);
  request.model_ = ModelName("m");
  request.promptTokens_ = arrival.prompt_;
  if (arrival.prefix_ != 0) {
    AppendPrefixHashes(
      arrival.prefix_, arrival.prefixTokens_, request.prefixHashes_);
    // The rest of the prompt is the request's own.
    const std::uint64_t own = (aRequest + 1) << 20;
    const std::uint32_t rest = arrival.prompt_ - arrival.prefixTokens_;
    for (std::uint32_t block = 0; block < rest / kBlockTokens; ++block) {
      request.prefixHashes_.push_back(~(own + block));
    }
  }
  request.deadline_ = arrival.time_ + arrival.deadline_;
  request.excluded_ = streams_[aRequest].excluded_;
  return request;
}

template<RunnablePolicy Policy>
void
Simulation<Policy>::SetState(std::size_t aRequest, StreamState aState)
{
  Stream& stream = streams_[aRequest];
  const Arrival& arrival = arrivals_[aRequest];
  std::size_t& queued = queued_[{ arrival.zone_, arrival.rank_ }];
  const bool wasQueued = stream.state_ == StreamState::Queued;
  stream.state_ = aState;
  if (wasQueued && aState != StreamState::Queued && --queued == 0) {
    recorder_.RecordQueueEmpty(arrival.zone_, arrival.rank_, now_);
  } else if (!wasQueued && aState == StreamState::Queued) {
    ++queued;
  }
}

template<RunnablePolicy Policy>
void
Simulation<Policy>::Ask(std::size_t aRequest)
{
  const Arrival& arrival = arrivals_[aRequest];
  policy_.Enqueue(aRequest,
                  MakeGrantRequest(aRequest),
                  arrival.entry_,
                  arrival.zone_,
                  now_,
                  decisions_);
}

template<RunnablePolicy Policy>
void
Simulation<Policy>::ApplyDecisions()
{
  // Carrying out a decision can lead to further ones.
  while (!decisions_.empty()) {
    const Decisions decisions = std::exchange(decisions_, {});
    for (const Decision& decision : decisions) {
      Stream& stream = streams_[decision.request_];
      if (stream.state_ != StreamState::Queued) {
        continue;
      }
      if (decision.isGranted_) {
        Submit(decision.request_, decision.server_);
      } else {
        SetState(decision.request_, StreamState::Refused);
      }
    }
  }
}

template<RunnablePolicy Policy>
void
Simulation<Policy>::Submit(std::size_t aRequest, std::size_t aServer)
{
  Stream& stream = streams_[aRequest];
  EngineState& state = engines_[aServer];
  stream.wasAdmitted_ = true;
  stream.server_ = aServer;
  if (!state.isAlive_) {
    Retry(aRequest, aServer);
    return;
  }
  SetState(aRequest, StreamState::Running);
  running_.push_back(aRequest);
  const Arrival& arrival = arrivals_[aRequest];
  EngineJob job;
  job.request_ = aRequest;
  job.rank_ = arrival.rank_;
  job.prompt_ = arrival.prompt_;
  job.output_ = arrival.output_;
  job.prefix_ = arrival.prefix_;
  job.prefixTokens_ = arrival.prefixTokens_;
  recorder_.RecordPrompt(arrival.prompt_, now_);
  state.engine_.Submit(job);
  StartStep(aServer);
}

template<RunnablePolicy Policy>
void
Simulation<Policy>::Retry(std::size_t aRequest, std::size_t aServer)
{
  Stream& stream = streams_[aRequest];
  policy_.Release(aRequest, GrantOutcome::Unreachable, now_, decisions_);
  stream.excluded_.push_back(MakeServerId(aServer));
  if (stream.excluded_.size() >= kMaximumAttempts) {
    SetState(aRequest, StreamState::GaveUp);
    return;
  }
  SetState(aRequest, StreamState::Queued);
  Ask(aRequest);
}

template<RunnablePolicy Policy>
void
Simulation<Policy>::StartStep(std::size_t aServer)
{
  EngineState& state = engines_[aServer];
  if (state.isStepping_ || !state.isAlive_) {
    return;
  }
  const Duration duration = state.engine_.BeginStep();
  if (duration == Duration::zero()) {
    return;
  }
  state.isStepping_ = true;
  state.generation_ = nextEvent_;
  const Time start = std::max(now_, state.stalledUntil_);
  Schedule(start + duration, EventKind::Step, aServer);
}

template<RunnablePolicy Policy>
void
Simulation<Policy>::FinishStep(std::size_t aServer)
{
  EngineState& state = engines_[aServer];
  state.isStepping_ = false;
  tokens_.clear();
  state.engine_.EndStep(tokens_);
  for (const EngineToken& token : tokens_) {
    TakeToken(token);
  }
  ApplyDecisions();
  StartStep(aServer);
}

template<RunnablePolicy Policy>
void
Simulation<Policy>::TakeToken(const EngineToken& aToken)
{
  Stream& stream = streams_[aToken.request_];
  const Rank rank = arrivals_[aToken.request_].rank_;
  recorder_.RecordToken(rank, now_);
  if (stream.tokens_ == 0) {
    stream.firstToken_ = now_;
  } else {
    recorder_.RecordGap(rank, now_ - stream.lastToken_, now_);
  }
  ++stream.tokens_;
  stream.lastToken_ = now_;
  if (aToken.isLast_) {
    SetState(aToken.request_, StreamState::Completed);
    // The last progress goes with the release.
    policy_.ReportProgress(aToken.request_, stream.tokens_, now_, decisions_);
    policy_.Release(aToken.request_, GrantOutcome::Completed, now_, decisions_);
  }
}

template<RunnablePolicy Policy>
void
Simulation<Policy>::TakeDeadline(std::size_t aRequest)
{
  Stream& stream = streams_[aRequest];
  const bool isOpen = stream.state_ == StreamState::Queued ||
                      stream.state_ == StreamState::Running;
  if (!isOpen || stream.tokens_ > 0) {
    return;
  }
  if (stream.state_ == StreamState::Running) {
    engines_[stream.server_].engine_.Cancel(aRequest);
  }
  SetState(aRequest, StreamState::GaveUp);
  policy_.Release(aRequest, GrantOutcome::Cancelled, now_, decisions_);
}

template<RunnablePolicy Policy>
void
Simulation<Policy>::CollectProgress()
{
  std::erase_if(running_, [this](std::size_t aRequest) {
    return streams_[aRequest].state_ != StreamState::Running;
  });
  for (std::size_t request : running_) {
    progress_.push_back(
      { now_ + scenario_.progressLag_, request, streams_[request].tokens_ });
  }
  while (!progress_.empty() && progress_.front().due_ <= now_) {
    const Progress progress = progress_.front();
    progress_.pop_front();
    if (progress.tokens_ > 0) {
      policy_.ReportProgress(
        progress.request_, progress.tokens_, now_, decisions_);
    }
  }
}

template<RunnablePolicy Policy>
void
Simulation<Policy>::CollectLoad()
{
  for (std::size_t server = 0; server < engines_.size(); ++server) {
    EngineState& state = engines_[server];
    if (!state.isAlive_ || state.stalledUntil_ > now_) {
      continue;
    }
    const FakeEngine& engine = state.engine_;
    LoadReport report;
    report.due_ = now_ + scenario_.loadLag_;
    report.load_.id_ = MakeServerId(server);
    report.load_.running_ = static_cast<std::uint32_t>(engine.CountRunning());
    report.load_.waiting_ = static_cast<std::uint32_t>(engine.CountWaiting());
    report.load_.usedMemoryTokens_ = engine.GetUsedMemory();
    report.load_.totalMemoryTokens_ = engine.GetParameters().memoryTokens_;
    report.load_.preemptions_ = engine.CountPreemptions();
    report.load_.measuredAt_ = now_;
    report.cache_.id_ = report.load_.id_;
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> removed;
    state.engine_.TakeCacheChanges(stored, removed);
    const std::uint32_t tokens = scenario_.workload_.urgent_.prefixTokens_;
    for (std::uint64_t prefix : stored) {
      AppendPrefixHashes(prefix, tokens, report.cache_.stored_);
    }
    for (std::uint64_t prefix : removed) {
      AppendPrefixHashes(prefix, tokens, report.cache_.removed_);
    }
    report.cache_.sequence_ = ++state.cacheSequence_;
    report.isCacheLost_ = random_.DrawUnit() < kLostCacheEvents;
    loads_.push_back(std::move(report));
  }
  while (!loads_.empty() && loads_.front().due_ <= now_) {
    const LoadReport& report = loads_.front();
    policy_.ReportLoad(report.load_, now_, decisions_);
    if (!report.isCacheLost_) {
      policy_.ReportCacheEvent(report.cache_, now_);
    }
    loads_.pop_front();
  }
}

template class Simulation<ArbiterPolicy>;
template class Simulation<BaselinePolicy>;

} // namespace azurecross::bench

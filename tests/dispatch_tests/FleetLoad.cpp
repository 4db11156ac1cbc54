#include "FleetLoad.h"

#include <array>

namespace azurecross {

namespace {

constexpr std::array<double, 3> kSpeeds{ 0.6, 1.0, 1.6 };
/** A chunk of 112 tokens takes 8 ms beside each step of 7 ms. */
constexpr double kPromptTokensPerSecond = 7500.0;
constexpr double kStepSeconds = 0.007;
/** A report reaches the others after this time. */
constexpr Duration kReportDelay = std::chrono::milliseconds(2);
constexpr double kShortTargetSeconds = 1.5;
constexpr double kLongTargetSeconds = 4.0;
/** One engine in six is replaced at a time. */
constexpr std::size_t kReplacedPart = 6;

EngineTraits
MakeFleetTraits()
{
  EngineTraits traits = MakeTraits();
  traits.slots_ = 24;
  traits.memoryTokens_ = 27000;
  return traits;
}

} // namespace

FleetPlay::FleetPlay(const FleetLoad& aLoad)
  : load_(aLoad)
  , random_(aLoad.seed_)
{
  for (int daemon = 0; daemon < load_.daemons_; ++daemon) {
    auto added = std::make_unique<Daemon>();
    added->name_ = "d" + std::to_string(daemon);
    added->placement_ = std::make_unique<ServerPlacement>(AvailabilityZone("a"),
                                                          random_.DrawBits());
    daemons_.push_back(std::move(added));
  }
  places_.resize(static_cast<std::size_t>(load_.engines_));
  for (std::size_t place = 0; place < places_.size(); ++place) {
    AddEngine(place);
  }
}

void
FleetPlay::Schedule(Time aTime, std::function<void()> aAction)
{
  events_.push({ aTime, nextEvent_++, std::move(aAction) });
}

void
FleetPlay::AddEngine(std::size_t aPlace)
{
  engines_.push_back({});
  Engine& engine = engines_.back();
  engine.id_ = "e" + std::to_string(nextEngine_);
  engine.speed_ = kSpeeds.at(nextEngine_++ % kSpeeds.size());
  engine.prefillEnd_ = now_;
  places_[aPlace] = &engine;
  byId_[engine.id_] = &engine;
  for (const auto& daemon : daemons_) {
    daemon->loadTracker_.Update(
      MakeEngine(engine.id_), MakeFleetTraits(), now_);
  }
}

void
FleetPlay::ReplaceEngines()
{
  for (std::size_t count = 0; count < places_.size() / kReplacedPart; ++count) {
    const std::size_t place = random_.DrawBelow(places_.size());
    for (const auto& daemon : daemons_) {
      daemon->loadTracker_.Remove(BackendServerId(places_[place]->id_));
    }
    AddEngine(place);
  }
  Schedule(now_ + load_.replacementInterval_, [this] { ReplaceEngines(); });
}

void
FleetPlay::ScheduleArrival(bool aIsShort)
{
  const double rate = aIsShort ? load_.shortPerSecond_ : load_.longPerSecond_;
  const Duration gap = FromSeconds(random_.DrawExponential(1.0 / rate));
  Schedule(now_ + gap, [this, aIsShort] {
    Place(*daemons_[random_.DrawBelow(daemons_.size())], aIsShort);
    ScheduleArrival(aIsShort);
  });
}

void
FleetPlay::Place(Daemon& aDaemon, bool aIsShort)
{
  PlacementRequest request = MakeGeneration(aIsShort ? 2200 : 3000);
  request.route_ = RouteName(aIsShort ? "short" : "long");
  request.demand_.outputLimit_ = aIsShort ? 24 : 1800;
  request.timeToTarget_ =
    FromSeconds(aIsShort ? kShortTargetSeconds : kLongTargetSeconds);
  outcome_.shorts_ += aIsShort ? 1 : 0;
  const auto choice =
    aDaemon.placement_->Choose(aDaemon.loadTracker_, request, now_);
  if (!choice) {
    ++outcome_.refused_;
    return;
  }
  Run(aDaemon,
      *byId_.at(choice->server_.GetValue()),
      request,
      aIsShort ? 12 : 752);
  const bool mayReport =
    load_.reportsPlacements_ &&
    aDaemon.reportLimiter_.TryTake(daemons_.size() - 1, now_);
  if (mayReport) {
    Report(aDaemon);
  }
}

void
FleetPlay::Run(Daemon& aDaemon,
               Engine& aEngine,
               const PlacementRequest& aRequest,
               std::uint32_t aOutput)
{
  const RunId run = aDaemon.loadTracker_.Start({ BackendServerId(aEngine.id_),
                                                 aRequest.route_,
                                                 aRequest.customer_,
                                                 CallKind::Generation,
                                                 aRequest.demand_,
                                                 0,
                                                 now_ });
  const bool isShort = aRequest.route_ == RouteName("short");
  const double prefill =
    aRequest.demand_.promptTokens_ / (kPromptTokensPerSecond * aEngine.speed_);
  aEngine.prefillEnd_ =
    std::max(aEngine.prefillEnd_, now_) + FromSeconds(prefill);
  const Time first = aEngine.prefillEnd_;
  if (isShort && ToSeconds(first - now_) <= kShortTargetSeconds) {
    ++outcome_.shortsInTime_;
  }
  Schedule(first, [this, &aDaemon, run] {
    aDaemon.loadTracker_.ObserveEvent(run, 4, now_);
  });
  const double decode = aOutput * kStepSeconds / aEngine.speed_;
  Schedule(first + FromSeconds(decode), [this, &aDaemon, run, aOutput] {
    aDaemon.loadTracker_.ObserveEvent(run, aOutput, now_);
    aDaemon.loadTracker_.Finish(run, RunOutcome::Completed, now_);
  });
}

void
FleetPlay::Report(const Daemon& aDaemon)
{
  Schedule(
    now_ + kReportDelay,
    [this, name = aDaemon.name_, uses = aDaemon.loadTracker_.GetOwnUsage()] {
      for (const auto& daemon : daemons_) {
        if (daemon->name_ != name) {
          daemon->loadTracker_.SetPeerUsage(name, uses, now_);
        }
      }
    });
}

void
FleetPlay::ScheduleReport(std::size_t aDaemon)
{
  const Duration pause = random_.Jitter(load_.reportInterval_, 0.5);
  Schedule(now_ + pause, [this, aDaemon] {
    Report(*daemons_[aDaemon]);
    ScheduleReport(aDaemon);
  });
}

FleetOutcome
FleetPlay::Play()
{
  for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) {
    ScheduleReport(daemon);
  }
  ScheduleArrival(true);
  ScheduleArrival(false);
  ReplaceEngines();
  const Time end = kStart + FromSeconds(load_.seconds_);
  while (events_.top().time_ < end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.time_;
    event.action_();
  }
  return outcome_;
}

} // namespace azurecross

#include "FleetSimulation.h"

#include <algorithm>
#include <array>

namespace azurecross {

namespace {

constexpr std::array<double, 3> kSpeeds{ 0.6, 1.0, 1.6 };
/** A prefill chunk of 112 tokens adds 8 ms to each decode step of 7 ms.
 */
constexpr double kPromptTokensPerSecond = 7500.0;
constexpr double kDecodeStepSeconds = 0.007;
/** Delay until a report reaches the other daemons. */
constexpr Duration kReportDelay = std::chrono::milliseconds(2);
constexpr Duration kSummaryInterval = std::chrono::milliseconds(600);
constexpr double kShortTargetSeconds = 1.5;
constexpr double kLongTargetSeconds = 4.0;
/** One engine in six is replaced at a time. */
constexpr std::size_t kReplacementDivisor = 6;

EngineTraits
MakeFleetEngineTraits()
{
  EngineTraits traits = MakeTraits();
  traits.slots_ = 24;
  traits.memoryTokens_ = 27000;
  return traits;
}

} // namespace

FleetSimulation::FleetSimulation(const FleetConfig& aConfig)
  : config_(aConfig)
  , random_(aConfig.seed_)
{
  for (int daemon = 0; daemon < config_.daemons_; ++daemon) {
    auto added = std::make_unique<Daemon>();
    added->name_ = "d" + std::to_string(daemon);
    added->zone_ = daemon % config_.zones_;
    added->placement_ = std::make_unique<ServerPlacement>(
      AvailabilityZone(MakeZoneName(added->zone_)), random_.DrawBits());
    daemons_.push_back(std::move(added));
  }
  currentEngines_.resize(static_cast<std::size_t>(config_.engines_));
  for (std::size_t index = 0; index < currentEngines_.size(); ++index) {
    AddEngine(index);
  }
}

void
FleetSimulation::Schedule(Time aTime, std::function<void()> aAction)
{
  events_.Add(aTime, std::move(aAction));
}

void
FleetSimulation::AddEngine(std::size_t aIndex)
{
  engines_.push_back({});
  Engine& engine = engines_.back();
  engine.id_ = "e" + std::to_string(nextEngineNumber_);
  engine.speed_ = kSpeeds.at(nextEngineNumber_++ % kSpeeds.size());
  engine.zone_ = static_cast<int>(aIndex) % config_.zones_;
  engine.prefillEnd_ = now_;
  currentEngines_[aIndex] = &engine;
  enginesById_[engine.id_] = &engine;
  for (const auto& daemon : daemons_) {
    daemon->loadTracker_.Update(
      MakeEngine(engine.id_, MakeZoneName(engine.zone_)),
      MakeFleetEngineTraits(),
      now_);
  }
}

void
FleetSimulation::ReplaceEngines()
{
  for (std::size_t count = 0;
       count < currentEngines_.size() / kReplacementDivisor;
       ++count) {
    const std::size_t index = random_.DrawBelow(currentEngines_.size());
    for (const auto& daemon : daemons_) {
      daemon->loadTracker_.Remove(BackendServerId(currentEngines_[index]->id_));
    }
    AddEngine(index);
  }
  Schedule(now_ + config_.replacementInterval_, [this] { ReplaceEngines(); });
}

void
FleetSimulation::ScheduleArrival(bool aIsShort)
{
  const double rate =
    aIsShort ? config_.shortPerSecond_ : config_.longPerSecond_;
  const Duration gap = FromSeconds(random_.DrawExponential(1.0 / rate));
  Schedule(now_ + gap, [this, aIsShort] {
    Place(DrawDaemon(), aIsShort);
    ScheduleArrival(aIsShort);
  });
}

FleetSimulation::Daemon&
FleetSimulation::DrawDaemon()
{
  for (;;) {
    Daemon& daemon = *daemons_[random_.DrawBelow(daemons_.size())];
    const double weight = daemon.zone_ == 0 ? config_.firstZoneWeight_ : 1.0;
    const double largestWeight = std::max(config_.firstZoneWeight_, 1.0);
    if (random_.DrawUnit() * largestWeight < weight) {
      return daemon;
    }
  }
}

void
FleetSimulation::Place(Daemon& aDaemon, bool aIsShort)
{
  PlacementRequest request = MakeGeneration(aIsShort ? 2200 : 3000);
  request.route_ = RouteName(aIsShort ? "short" : "long");
  request.demand_.outputLimit_ = aIsShort ? 24 : 1800;
  request.timeToTarget_ =
    FromSeconds(aIsShort ? kShortTargetSeconds : kLongTargetSeconds);
  outcome_.shortRequests_ += aIsShort ? 1 : 0;
  const auto choice = aDaemon.placement_->Choose(
    aDaemon.loadTracker_, aDaemon.limiter_, request, now_);
  if (!choice) {
    ++outcome_.refused_;
    return;
  }
  Engine& engine = *enginesById_.at(choice->server_.GetValue());
  ++outcome_.placed_;
  outcome_.placedInOtherZone_ += engine.zone_ == aDaemon.zone_ ? 0 : 1;
  StartRun(aDaemon, engine, request, aIsShort ? 12 : 752);
  const std::size_t receivers =
    daemons_.size() / static_cast<std::size_t>(config_.zones_) - 1;
  const bool mayReport = config_.reportsPlacements_ &&
                         aDaemon.reportLimiter_.TryTake(receivers, now_);
  if (mayReport) {
    SendReport(aDaemon);
  }
}

void
FleetSimulation::StartRun(Daemon& aDaemon,
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
    ++outcome_.shortRequestsInTime_;
  }
  Schedule(first, [this, &aDaemon, run] {
    aDaemon.loadTracker_.ObserveEvent(run, 4, now_);
  });
  const double decode = aOutput * kDecodeStepSeconds / aEngine.speed_;
  Schedule(first + FromSeconds(decode), [this, &aDaemon, run, aOutput] {
    aDaemon.loadTracker_.ObserveEvent(run, aOutput, now_);
    aDaemon.loadTracker_.Finish(run, RunOutcome::Completed, now_);
  });
}

void
FleetSimulation::SendReport(const Daemon& aDaemon)
{
  Schedule(now_ + kReportDelay,
           [this,
            zone = aDaemon.zone_,
            name = aDaemon.name_,
            uses = aDaemon.loadTracker_.GetOwnUsage()] {
             for (const auto& daemon : daemons_) {
               if (daemon->name_ != name && daemon->zone_ == zone) {
                 daemon->loadTracker_.SetPeerUsage(name, uses, now_);
               }
             }
           });
}

void
FleetSimulation::ScheduleReport(std::size_t aDaemon)
{
  const Duration pause = random_.Jitter(config_.reportInterval_, 0.5);
  Schedule(now_ + pause, [this, aDaemon] {
    SendReport(*daemons_[aDaemon]);
    ScheduleReport(aDaemon);
  });
}

void
FleetSimulation::SendSummaries()
{
  for (int zone = 0; zone < config_.zones_; ++zone) {
    const auto summarizer =
      std::find_if(daemons_.begin(), daemons_.end(), [&](const auto& aDaemon) {
        return aDaemon->zone_ == zone;
      });
    const LoadSummary summary =
      (*summarizer)->loadTracker_.SummarizeDaemons(now_);
    for (const auto& daemon : daemons_) {
      if (daemon->zone_ != zone) {
        daemon->loadTracker_.SetPeerUsage("zone " + MakeZoneName(zone),
                                          summary.usage_,
                                          now_,
                                          LoadScope::Zone,
                                          summary.daemonCount_);
      }
    }
  }
  Schedule(now_ + kSummaryInterval, [this] { SendSummaries(); });
}

FleetOutcome
FleetSimulation::Simulate()
{
  if (config_.zones_ > 1) {
    SendSummaries();
  }
  for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) {
    ScheduleReport(daemon);
  }
  ScheduleArrival(true);
  ScheduleArrival(false);
  ReplaceEngines();
  events_.RunUntil(kStart + FromSeconds(config_.seconds_), now_);
  return outcome_;
}

} // namespace azurecross

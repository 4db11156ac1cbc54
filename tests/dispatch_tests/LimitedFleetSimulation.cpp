#include "LimitedFleetSimulation.h"

#include <algorithm>

namespace azurecross {

namespace {

constexpr Duration kCallTime = std::chrono::milliseconds(150);
constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kGossipInterval = std::chrono::milliseconds(300);
constexpr int kGossipReceivers = 3;
/** Callers wait this long; the answer is late after the first time. */
constexpr Duration kTarget = std::chrono::milliseconds(1500);
constexpr Duration kDeadline = std::chrono::seconds(6);
constexpr Duration kSettlingTime = std::chrono::seconds(3);
constexpr Duration kWindow = std::chrono::seconds(4);
/** Time after its first answer from which on a daemon knows a limit. */
constexpr Duration kToldTime = std::chrono::milliseconds(500);
/** Requests end before the simulation does. */
constexpr double kDrainSeconds = 2.0;

} // namespace

LimitedFleetSimulation::LimitedFleetSimulation(
  const LimitedFleetConfig& aConfig)
  : config_(aConfig)
  , random_(aConfig.seed_)
{
  for (int index = 0; index < config_.daemons_ + config_.addedDaemons_;
       ++index) {
    daemons_.push_back(std::make_unique<Daemon>());
    Daemon& daemon = *daemons_.back();
    daemon.name_ = "d" + std::to_string(index);
    daemon.zone_ = index % config_.zones_;
    StartDaemon(daemon);
    daemon.isAlive_ = index < config_.daemons_;
    daemon.isListed_ = daemon.isAlive_;
  }
  SetMembersOfAll();
}

void
LimitedFleetSimulation::Schedule(Duration aDelay, std::function<void()> aAction)
{
  events_.Add(now_ + aDelay, std::move(aAction));
}

void
LimitedFleetSimulation::StartDaemon(Daemon& aDaemon)
{
  aDaemon.isAlive_ = true;
  aDaemon.toldAt_.clear();
  aDaemon.tracker_ = std::make_unique<ServerLoadTracker>();
  for (int index = 0; index < config_.servers_; ++index) {
    ServerRecord server = MakeService("s" + std::to_string(index),
                                      MakeZoneName(index % config_.zones_));
    server.slots_ = 24;
    aDaemon.tracker_->Update(server, std::nullopt, now_);
  }
  aDaemon.limiter_ = std::make_unique<ServerLimiter>(random_.DrawBits());
  aDaemon.quarantine_ = std::make_unique<RequestQuarantine>(1);
  aDaemon.dispatcher_ = std::make_unique<Dispatcher>(
    *aDaemon.tracker_,
    *aDaemon.limiter_,
    *aDaemon.quarantine_,
    ServerPlacement(AvailabilityZone(MakeZoneName(aDaemon.zone_)),
                    random_.DrawBits()),
    random_.DrawBits());
}

std::vector<PermitPeer>
LimitedFleetSimulation::ListMembers() const
{
  std::vector<PermitPeer> members;
  for (const auto& daemon : daemons_) {
    if (daemon->isListed_) {
      members.push_back(
        { daemon->name_, AvailabilityZone(MakeZoneName(daemon->zone_)) });
    }
  }
  return members;
}

void
LimitedFleetSimulation::SetMembers(const Daemon& aDaemon,
                                   const std::vector<PermitPeer>& aMembers)
{
  aDaemon.limiter_->SetMembers(
    { aDaemon.name_, AvailabilityZone(MakeZoneName(aDaemon.zone_)) },
    aMembers,
    now_);
}

void
LimitedFleetSimulation::SetMembersOfAll()
{
  for (const auto& daemon : daemons_) {
    SetMembers(*daemon, ListMembers());
  }
}

void
LimitedFleetSimulation::AddDaemons()
{
  for (const auto& daemon : daemons_) {
    if (!daemon->isListed_) {
      // A daemon reads the list before it registers.
      StartDaemon(*daemon);
      SetMembers(*daemon, ListMembers());
    }
  }
  for (const auto& daemon : daemons_) {
    daemon->isListed_ = true;
    Schedule(FromSeconds(random_.DrawUnit() * config_.listDelaySeconds_),
             [this, &reader = *daemon] { SetMembers(reader, ListMembers()); });
  }
}

bool
LimitedFleetSimulation::IsCut(int aZone, int aOtherZone) const
{
  const bool isDuringCut =
    now_ >= At(config_.cutAt_) && now_ < At(config_.cutUntil_);
  return isDuringCut && (aZone == 0) != (aOtherZone == 0);
}

void
LimitedFleetSimulation::ScheduleArrival()
{
  Schedule(
    FromSeconds(random_.DrawExponential(1.0 / config_.requestsPerSecond_)),
    [this] {
      Daemon& daemon = *daemons_[random_.DrawBelow(daemons_.size())];
      const bool isDraining = now_ > At(config_.seconds_ - kDrainSeconds);
      if (daemon.isAlive_ && !isDraining) {
        ++outcome_.requests_;
        DispatchTicket ticket;
        ticket.id_ = nextTicket_++;
        ticket.request_ = MakeCall();
        ticket.arrival_ = now_;
        ticket.targetTime_ = now_ + kTarget;
        ticket.deadline_ = now_ + kDeadline;
        DispatchDecisions decisions;
        daemon.dispatcher_->Enqueue(ticket, now_, decisions);
        Apply(daemon, std::move(decisions));
      }
      ScheduleArrival();
    });
}

void
LimitedFleetSimulation::ScheduleTick(std::size_t aDaemon)
{
  Schedule(kTickInterval, [this, aDaemon] {
    Daemon& daemon = *daemons_[aDaemon];
    if (daemon.isAlive_) {
      DispatchDecisions decisions;
      daemon.dispatcher_->Tick(now_, decisions);
      Apply(daemon, std::move(decisions));
    }
    ScheduleTick(aDaemon);
  });
}

void
LimitedFleetSimulation::ScheduleGossip(std::size_t aDaemon)
{
  Schedule(random_.Jitter(kGossipInterval, 0.2), [this, aDaemon] {
    Daemon& sender = *daemons_[aDaemon];
    for (int count = 0; sender.isAlive_ && count < kGossipReceivers; ++count) {
      Daemon& receiver = *daemons_[random_.DrawBelow(daemons_.size())];
      if (receiver.isAlive_ && !IsCut(sender.zone_, receiver.zone_)) {
        for (const ServerLimit& limit :
             sender.limiter_->GetTable().GetNewest(now_)) {
          receiver.limiter_->GetTable().Merge(limit);
        }
      }
    }
    ScheduleGossip(aDaemon);
  });
}

void
LimitedFleetSimulation::Apply(Daemon& aDaemon, DispatchDecisions aDecisions)
{
  outcome_.refused_ += static_cast<int>(aDecisions.refusals_.size());
  for (const StartDecision& start : aDecisions.starts_) {
    outcome_.longestWait_ =
      std::max(outcome_.longestWait_, ToSeconds(start.waited_));
    Send(aDaemon, start);
  }
  SendMessages(aDaemon);
}

void
LimitedFleetSimulation::Send(Daemon& aDaemon, const StartDecision& aStart)
{
  const BackendServerId server = aStart.choice_.server_;
  const auto toldAt = aDaemon.toldAt_.find(server);
  arrivals_[server].push_back(
    { now_,
      toldAt != aDaemon.toldAt_.end() && now_ - toldAt->second >= kToldTime });
  const Time sentAt = now_;
  const ServerLoadTracker* life = aDaemon.tracker_.get();
  Schedule(kCallTime,
           [this, &aDaemon, server, sentAt, life, run = aStart.run_] {
             if (!aDaemon.isAlive_ || aDaemon.tracker_.get() != life) {
               return;
             }
             ++outcome_.served_;
             aDaemon.toldAt_.try_emplace(server, now_);
             aDaemon.tracker_->Finish(run, RunOutcome::Completed, now_);
             if (config_.readsLimits_) {
               aDaemon.limiter_->GetTable().RecordAnswer(
                 server, config_.limit_, sentAt, now_);
             }
             DispatchDecisions decisions;
             aDaemon.dispatcher_->Dispatch(now_, decisions);
             Apply(aDaemon, std::move(decisions));
           });
}

void
LimitedFleetSimulation::SendMessages(Daemon& aDaemon)
{
  for (const PermitMessage& message : aDaemon.limiter_->TakeMessages()) {
    ++messages_;
    if (random_.DrawUnit() < config_.messageLoss_) {
      continue;
    }
    const auto receiver =
      std::find_if(daemons_.begin(), daemons_.end(), [&](const auto& aPeer) {
        return aPeer->name_ == message.receiver_;
      });
    Schedule(random_.Jitter(std::chrono::milliseconds(4), 0.75),
             [this, &daemon = **receiver, zone = aDaemon.zone_, message] {
               if (!daemon.isAlive_ || IsCut(zone, daemon.zone_)) {
                 return;
               }
               daemon.limiter_->Handle(message, now_);
               DispatchDecisions decisions;
               daemon.dispatcher_->Dispatch(now_, decisions);
               Apply(daemon, std::move(decisions));
             });
  }
}

void
LimitedFleetSimulation::Kill()
{
  for (const auto& daemon : daemons_) {
    if (random_.DrawUnit() < config_.killedShare_) {
      daemon->isAlive_ = false;
      Schedule(FromSeconds(config_.restartSeconds_), [this, &killed = *daemon] {
        StartDaemon(killed);
        SetMembersOfAll();
      });
    }
  }
}

LimitedFleetOutcome
LimitedFleetSimulation::Evaluate()
{
  const double seconds =
    config_.seconds_ - kDrainSeconds - ToSeconds(kSettlingTime);
  std::size_t total = 0;
  for (const auto& [server, arrivals] : arrivals_) {
    std::deque<Time> window;
    for (const Arrival& arrival : arrivals) {
      if (arrival.time_ < arrivals.front().time_ + kSettlingTime) {
        continue;
      }
      ++total;
      if (!arrival.isFromTold_) {
        continue;
      }
      window.push_back(arrival.time_);
      while (arrival.time_ - window.front() >= kWindow) {
        window.pop_front();
      }
      outcome_.mostIn4Seconds_ =
        std::max(outcome_.mostIn4Seconds_, static_cast<int>(window.size()));
    }
  }
  outcome_.meanRate_ = static_cast<double>(total) / seconds;
  outcome_.messagesPerRequest_ =
    static_cast<double>(messages_) / std::max(outcome_.requests_, 1);
  return outcome_;
}

LimitedFleetOutcome
LimitedFleetSimulation::Simulate()
{
  ScheduleArrival();
  for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) {
    ScheduleTick(daemon);
    ScheduleGossip(daemon);
  }
  Schedule(FromSeconds(config_.killAt_), [this] { Kill(); });
  if (config_.addedDaemons_ > 0) {
    Schedule(FromSeconds(config_.addAt_), [this] { AddDaemons(); });
  }
  events_.RunUntil(At(config_.seconds_), now_);
  return Evaluate();
}

} // namespace azurecross

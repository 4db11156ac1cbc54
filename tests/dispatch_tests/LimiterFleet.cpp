#include "LimiterFleet.h"

#include <algorithm>
#include <deque>

namespace azurecross {

namespace {

const AvailabilityZone kZone("a");
constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kMaxWait = std::chrono::seconds(1);

} // namespace

LimiterFleet::LimiterFleet(std::size_t aDaemons)
  : ranks_(aDaemons, 0)
{
  std::vector<PermitPeer> members;
  for (std::size_t index = 0; index < aDaemons; ++index) {
    names_.push_back("d" + std::to_string(index));
    members.push_back({ names_.back(), kZone });
  }
  for (std::size_t index = 0; index < aDaemons; ++index) {
    limiters_.push_back(std::make_unique<ServerLimiter>(index * 1000));
    limiters_.back()->SetMembers(members[index], members, now_);
  }
}

void
LimiterFleet::ForEach(const std::function<void(ServerLimiter&)>& aConfigure)
{
  for (const auto& limiter : limiters_) {
    aConfigure(*limiter);
  }
}

std::size_t
LimiterFleet::FindIssuer()
{
  IssuerSelector selector;
  std::vector<PermitPeer> members;
  for (const std::string& name : names_) {
    members.push_back({ name, kZone });
  }
  selector.SetMembers(members.front(), members, now_);
  const auto issuer = std::find(
    names_.begin(), names_.end(), selector.FindIssuer(kServer, kZone));
  return static_cast<std::size_t>(issuer - names_.begin());
}

std::vector<LimitedSend>
LimiterFleet::Play(Duration aTime)
{
  std::vector<LimitedSend> sends;
  for (const Time end = now_ + aTime; now_ < end;) {
    now_ += kStep;
    for (std::size_t daemon = 0; daemon < limiters_.size(); ++daemon) {
      if (TrySend(daemon)) {
        sends.push_back({ now_, daemon });
      }
    }
    DeliverMessages();
  }
  return sends;
}

bool
LimiterFleet::TrySend(std::size_t aDaemon)
{
  ServerLimiter& limiter = *limiters_[aDaemon];
  const PermitStatus status = limiter.FindStatus(kServer, kMaxWait, now_);
  if (status.state_ == PermitState::Obtainable && !status.isRequested_) {
    limiter.Request(kServer, kZone, kMaxWait, now_, ranks_[aDaemon]);
  }
  const PermitState state = limiter.FindStatus(kServer, kMaxWait, now_).state_;
  const bool isAllowed =
    state == PermitState::Held || state == PermitState::NotNeeded;
  if (isAllowed) {
    limiter.Use(kServer, kZone, now_);
  }
  limiter.Tick(1, now_);
  return isAllowed;
}

void
LimiterFleet::DeliverMessages()
{
  for (bool hasMessages = true; hasMessages;) {
    hasMessages = false;
    for (const auto& sender : limiters_) {
      for (const PermitMessage& message : sender->TakeMessages()) {
        hasMessages = true;
        Deliver(message);
      }
    }
  }
}

void
LimiterFleet::Deliver(const PermitMessage& aMessage)
{
  const bool isLost =
    aMessage.sender_ == silent_ || aMessage.receiver_ == silent_;
  const auto receiver =
    std::find(names_.begin(), names_.end(), aMessage.receiver_);
  if (!isLost && receiver != names_.end()) {
    limiters_[static_cast<std::size_t>(receiver - names_.begin())]->Handle(
      aMessage, now_);
  }
}

std::size_t
CountMostWithin(const std::vector<LimitedSend>& aSends, Duration aTime)
{
  std::deque<Time> window;
  std::size_t most = 0;
  for (const LimitedSend& send : aSends) {
    window.push_back(send.time_);
    while (send.time_ - window.front() > aTime) {
      window.pop_front();
    }
    most = std::max(most, window.size());
  }
  return most;
}

} // namespace azurecross

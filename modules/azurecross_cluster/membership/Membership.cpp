#include "Membership.h"

#include <algorithm>

namespace azurecross {

Membership::Membership(MembershipSettings aSettings,
                       Time aNow,
                       std::uint64_t aSeed)
  : settings_(std::move(aSettings))
  , random_(aSeed)
  , prober_(random_.DrawBits())
  , start_(aNow)
  , lastTick_(aNow)
  // Spreads the timers of entries that start together.
  , nextProbe_(aNow + random_.Jitter(ProbeTimes::kPeriod, 1.0))
  , nextContact_(aNow)
  , nextSync_(aNow + random_.Jitter(kSyncInterval, 1.0))
  , nextDelegate_(aNow + random_.Jitter(kDelegateInterval, 1.0))
  , nextForget_(aNow + kForgetAfter)
  , allowanceSince_(aNow)
{
  Member self{ settings_.self_, settings_.incarnation_, MemberState::Live,
               settings_.zone_, settings_.address_,     settings_.size_ };
  self.start_ = settings_.incarnation_;
  table_.Merge(self, aNow);
  updates_.Add(self);
}

void
Membership::SetListedEntries(std::vector<ListedEntry> aEntries)
{
  listed_ = std::move(aEntries);
}

const Member&
Membership::GetSelf() const
{
  return table_.Find(settings_.self_)->member_;
}

const Member*
Membership::Find(const EntryId& aEntry) const
{
  const MemberTable::Entry* entry = table_.Find(aEntry);
  return entry == nullptr ? nullptr : &entry->member_;
}

std::vector<Member>
Membership::ListEligible() const
{
  std::vector<Member> eligible;
  for (const auto& [id, entry] : table_.GetEntries()) {
    if (entry.member_.zone_ == settings_.zone_ && entry.member_.IsEligible()) {
      eligible.push_back(entry.member_);
    }
  }
  return eligible;
}

const std::vector<Member>&
Membership::ListPeers() const
{
  if (!peers_) {
    peers_.emplace();
    for (const auto& [id, entry] : table_.GetEntries()) {
      const Member& member = entry.member_;
      if (member.zone_ == settings_.zone_ && member.IsReachable() &&
          id != settings_.self_) {
        peers_->push_back(member);
      }
    }
  }
  return *peers_;
}

const HomeSelector&
Membership::GetSelector(const AvailabilityZone& aZone) const
{
  return table_.GetSelector(aZone);
}

bool
Membership::IsDelegate() const
{
  const auto chosen =
    GetSelector(settings_.zone_).ChooseDelegates(settings_.zone_);
  return std::find(chosen.begin(), chosen.end(), settings_.self_) !=
         chosen.end();
}

bool
Membership::IsWatcher() const
{
  const auto chosen =
    GetSelector(settings_.zone_).ChooseWatchers(settings_.zone_);
  return std::find(chosen.begin(), chosen.end(), settings_.self_) !=
         chosen.end();
}

void
Membership::AnnounceLeaving(Time aNow, ClusterActions& aActions)
{
  Member self = GetSelf();
  self.state_ = MemberState::Leaving;
  ApplyChange(self, aNow, Urgency::Urgent, aActions);
}

void
Membership::ApplyChange(const Member& aMember,
                        Time aNow,
                        Urgency aUrgency,
                        ClusterActions& aActions)
{
  if (!table_.Merge(aMember, aNow)) {
    return;
  }
  peers_.reset();
  if (aUrgency != Urgency::Silent) {
    updates_.Add(aMember);
  }
  aActions.changes_.push_back(aMember);
  if (aMember.state_ == MemberState::Suspect &&
      aMember.zone_ == settings_.zone_) {
    suspects_.insert(aMember.entry_);
  }
  if (aMember.state_ == MemberState::Dead) {
    aActions.unusedPeers_.push_back(aMember.entry_);
  }
  if (aUrgency == Urgency::Urgent) {
    PushUrgently(aMember, aNow, aActions);
  }
}

void
Membership::Refute(Incarnation aClaimed, Time aNow, ClusterActions& aActions)
{
  Member self = GetSelf();
  self.incarnation_ = Incarnation(
    std::max(aClaimed.GetValue(), self.incarnation_.GetValue()) + 1);
  ApplyChange(self, aNow, Urgency::Urgent, aActions);
}

void
Membership::PushUrgently(const Member& aMember,
                         Time aNow,
                         ClusterActions& aActions)
{
  urgentAllowance_ = std::min(
    kUrgentPerSecond,
    urgentAllowance_ + kUrgentPerSecond * ToSeconds(aNow - allowanceSince_));
  allowanceSince_ = aNow;
  // The suspect itself must hear of the suspicion to refute it.
  if (aMember.state_ == MemberState::Suspect && urgentAllowance_ >= 1.0) {
    urgentAllowance_ -= 1.0;
    wire::Heartbeat notice = MakeHeartbeat(wire::Heartbeat::UPDATE);
    *notice.add_updates() = ToWire(aMember);
    Send(aMember.entry_, aMember.address_, std::move(notice), aActions);
  }
  for (std::size_t index = 0; index < kUrgentFanout; ++index) {
    const std::optional<Member> peer = DrawPeer();
    if (!peer || urgentAllowance_ < 1.0) {
      return;
    }
    urgentAllowance_ -= 1.0;
    wire::Heartbeat update = MakeHeartbeat(wire::Heartbeat::UPDATE);
    *update.add_updates() = ToWire(aMember);
    Send(peer->entry_, peer->address_, std::move(update), aActions);
  }
}

wire::Heartbeat
Membership::MakeHeartbeat(wire::Heartbeat::Kind aKind, std::uint64_t aProbe)
{
  wire::Heartbeat heartbeat;
  heartbeat.set_kind(aKind);
  heartbeat.set_probe(aProbe);
  *heartbeat.mutable_self() = ToWire(GetSelf());
  heartbeat.set_table_revision(revision_);
  updates_.Attach(heartbeat, CountZone());
  return heartbeat;
}

void
Membership::AttachPage(wire::Heartbeat& aHeartbeat)
{
  for (const Member& member : table_.ReadPage(pageCursor_, kPageRecords)) {
    *aHeartbeat.add_updates() = ToWire(member);
  }
}

void
Membership::Send(const EntryId& aReceiver,
                 const SocketAddress& aAddress,
                 wire::Heartbeat aHeartbeat,
                 ClusterActions& aActions)
{
  OutgoingMessage message{ aReceiver, aAddress, {}, false };
  // A receiver that is believed suspect or dead is told so, to refute it.
  const MemberTable::Entry* known = table_.Find(aReceiver);
  if (known != nullptr && known->member_.state_ != MemberState::Live &&
      known->member_.state_ != MemberState::Leaving) {
    *aHeartbeat.add_updates() = ToWire(known->member_);
    message.redial_ = known->member_.state_ == MemberState::Dead;
  }
  *message.message_.mutable_heartbeat() = std::move(aHeartbeat);
  aActions.messages_.push_back(std::move(message));
}

std::optional<Member>
Membership::DrawPeer()
{
  if (!peers_) {
    ListPeers();
  }
  if (peers_->empty()) {
    return std::nullopt;
  }
  return (*peers_)[random_.DrawBelow(peers_->size())];
}

std::size_t
Membership::CountZone() const
{
  if (!peers_) {
    ListPeers();
  }
  return peers_->size() + 1;
}

} // namespace azurecross

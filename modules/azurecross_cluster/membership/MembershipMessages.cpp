// The part of Membership that handles heartbeats from peers.
#include "Membership.h"

#include <algorithm>

namespace azurecross {

namespace {

/** Pages sent to a member that joins a zone, so that it knows the zone. */
constexpr std::size_t kWelcomePages = 4;

} // namespace

void
Membership::HandleMessage(const wire::PeerMessage& aMessage,
                          Time aNow,
                          ClusterActions& aActions)
{
  if (!aMessage.has_heartbeat()) {
    return;
  }
  const wire::Heartbeat& heartbeat = aMessage.heartbeat();
  const Member sender = FromWire(heartbeat.self());
  // A message of this entry itself arrives when it is one of its own seeds.
  if (sender.entry_ == settings_.self_ || sender.entry_.GetValue().empty()) {
    return;
  }
  if (heartbeat.table_revision() >= highestRevision_) {
    highestRevision_ = heartbeat.table_revision();
    revisionHolder_ = sender.entry_;
  }
  const bool isNew = table_.Find(sender.entry_) == nullptr;
  MergeUpdate(sender, Urgency::Normal, aNow, aActions);
  const bool isPage = heartbeat.kind() == wire::Heartbeat::SYNC ||
                      heartbeat.kind() == wire::Heartbeat::SYNC_REPLY;
  const Urgency least =
    isPage && aNow - start_ < kNewcomerTime ? Urgency::Silent : Urgency::Normal;
  for (const wire::MemberRecord& update : heartbeat.updates()) {
    MergeUpdate(FromWire(update), least, aNow, aActions);
  }
  if (isNew && sender.zone_ == settings_.zone_) {
    WelcomeMember(sender, aActions);
  }
  HandleKind(heartbeat, sender, aNow, aActions);
}

void
Membership::MergeUpdate(const Member& aMember,
                        Urgency aLeast,
                        Time aNow,
                        ClusterActions& aActions)
{
  if (aMember.entry_.GetValue().empty()) {
    return;
  }
  if (aMember.entry_ == settings_.self_) {
    const Member& self = GetSelf();
    const bool isNewer = aMember.incarnation_ > self.incarnation_;
    const bool isWorse =
      aMember.incarnation_ == self.incarnation_ && aMember.state_ > self.state_;
    if (isNewer || isWorse) {
      Refute(aMember.incarnation_, aNow, aActions);
    }
    return;
  }
  const MemberTable::Entry* known = table_.Find(aMember.entry_);
  const bool isOwnZone = aMember.zone_ == settings_.zone_;
  const bool wasLive =
    known == nullptr || known->member_.state_ == MemberState::Live;
  // A plain arrival can wait for the next heartbeats.
  const bool isUrgent =
    isOwnZone && (aMember.state_ != MemberState::Live || !wasLive);
  ApplyChange(aMember, aNow, isUrgent ? Urgency::Urgent : aLeast, aActions);
}

void
Membership::WelcomeMember(const Member& aMember, ClusterActions& aActions)
{
  // The link to the seed address, if any, is replaced by one with the id.
  const auto& seeds = settings_.seeds_;
  if (std::find(seeds.begin(), seeds.end(), aMember.address_) != seeds.end()) {
    aActions.unusedPeers_.push_back(EntryId(aMember.address_.Format()));
  }
  const std::vector<Member> zone = ListEligible();
  std::size_t position = 0;
  for (std::size_t page = 0; page < kWelcomePages; ++page) {
    if (position >= zone.size()) {
      return;
    }
    wire::Heartbeat reply = MakeHeartbeat(wire::Heartbeat::SYNC_REPLY);
    for (std::size_t count = 0; count < kPageRecords; ++count) {
      if (position < zone.size()) {
        *reply.add_updates() = ToWire(zone[position++]);
      }
    }
    Send(aMember.entry_, aMember.address_, std::move(reply), aActions);
  }
}

void
Membership::HandleKind(const wire::Heartbeat& aHeartbeat,
                       const Member& aSender,
                       Time aNow,
                       ClusterActions& aActions)
{
  switch (aHeartbeat.kind()) {
    case wire::Heartbeat::PROBE: {
      wire::Heartbeat answer =
        MakeHeartbeat(wire::Heartbeat::ACKNOWLEDGEMENT, aHeartbeat.probe());
      Send(aSender.entry_, aSender.address_, std::move(answer), aActions);
      return;
    }
    case wire::Heartbeat::ACKNOWLEDGEMENT:
      FinishProbe(aHeartbeat, aSender, aActions);
      return;
    case wire::Heartbeat::INDIRECT_PROBE:
      AskTarget(aHeartbeat, aSender, aNow, aActions);
      return;
    case wire::Heartbeat::SYNC: {
      wire::Heartbeat reply = MakeHeartbeat(wire::Heartbeat::SYNC_REPLY);
      AttachPage(reply);
      Send(aSender.entry_, aSender.address_, std::move(reply), aActions);
      return;
    }
    default:
      return;
  }
}

void
Membership::AskTarget(const wire::Heartbeat& aHeartbeat,
                      const Member& aSender,
                      Time aNow,
                      ClusterActions& aActions)
{
  const Member* target = Find(EntryId(aHeartbeat.target()));
  if (target == nullptr) {
    return;
  }
  const std::uint64_t probe =
    prober_.Begin(target->entry_,
                  aNow,
                  Prober::Requester{ aSender.entry_, aHeartbeat.probe() });
  Send(target->entry_,
       target->address_,
       MakeHeartbeat(wire::Heartbeat::PROBE, probe),
       aActions);
}

void
Membership::FinishProbe(const wire::Heartbeat& aHeartbeat,
                        const Member& aSender,
                        ClusterActions& aActions)
{
  const auto requester = prober_.Finish(aHeartbeat.probe());
  // An answer clears a suspicion of this entry's own that was not announced.
  MemberTable::Entry* sender = table_.Find(aSender.entry_);
  if (sender != nullptr && sender->member_.state_ == MemberState::Leaving) {
    sender->suspectedSince_.reset();
  }
  if (!requester) {
    return;
  }
  const Member* asking = Find(requester->entry_);
  if (asking != nullptr) {
    Send(asking->entry_,
         asking->address_,
         MakeHeartbeat(wire::Heartbeat::ACKNOWLEDGEMENT, requester->probe_),
         aActions);
  }
}

} // namespace azurecross

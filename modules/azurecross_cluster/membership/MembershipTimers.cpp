// The part of Membership that runs its timers.
#include "Membership.h"

#include <algorithm>

namespace azurecross {

void
Membership::Tick(Time aNow, ClusterActions& aActions)
{
  DetectOwnPause(aNow, aActions);
  lastTick_ = aNow;
  AdvanceProbes(aNow, aActions);
  ExpireSuspicions(aNow, aActions);
  if (aNow >= nextProbe_) {
    nextProbe_ = aNow + random_.Jitter(ProbeTimes::kPeriod, 0.1);
    ProbeMembers(aNow, aActions);
  }
  if (aNow >= nextContact_) {
    nextContact_ = aNow + random_.Jitter(kContactInterval, 0.2);
    ProbeContact(aNow, aActions);
  }
  if (aNow >= nextSync_) {
    nextSync_ = aNow + random_.Jitter(kSyncInterval, 0.2);
    SyncWithMember(aNow, aActions);
  }
  if (aNow >= nextDelegate_) {
    nextDelegate_ = aNow + random_.Jitter(kDelegateInterval, 0.2);
    SyncWithZones(aNow, aActions);
  }
  if (aNow >= nextForget_) {
    nextForget_ = aNow + std::chrono::seconds(10);
    ForgetMembers(aNow, aActions);
  }
}

void
Membership::DetectOwnPause(Time aNow, ClusterActions& aActions)
{
  if (aNow - lastTick_ < kPause) {
    return;
  }
  // Answers that arrived during the pause are still unread, so nobody is
  // blamed for them; the peers may have declared this entry dead meanwhile.
  prober_.Reset();
  for (auto& [id, entry] : table_.GetEntries()) {
    if (entry.suspectedSince_) {
      entry.suspectedSince_ = aNow;
    }
  }
  Refute(GetIncarnation(), aNow, aActions);
}

void
Membership::ProbeMembers(Time aNow, ClusterActions& aActions)
{
  std::vector<EntryId> candidates;
  for (const Member& peer : ListPeers()) {
    candidates.push_back(peer.entry_);
  }
  for (const EntryId& target : prober_.ChooseTargets(candidates)) {
    const std::uint64_t probe = prober_.Begin(target, aNow);
    Send(target,
         Find(target)->address_,
         MakeHeartbeat(wire::Heartbeat::PROBE, probe),
         aActions);
  }
}

void
Membership::AdvanceProbes(Time aNow, ClusterActions& aActions)
{
  for (const Prober::Due& due : prober_.CollectDue(aNow)) {
    const Member* target = Find(due.target_);
    if (target == nullptr) {
      continue;
    }
    switch (due.step_) {
      case Prober::Step::Repeat:
        Send(target->entry_,
             target->address_,
             MakeHeartbeat(wire::Heartbeat::PROBE, due.probe_),
             aActions);
        break;
      case Prober::Step::AskHelpers:
        AskHelpers(due, aActions);
        break;
      case Prober::Step::Fail:
        SuspectMember(due.target_, aNow, aActions);
        break;
    }
  }
}

void
Membership::AskHelpers(const Prober::Due& aDue, ClusterActions& aActions)
{
  for (std::size_t index = 0; index < ProbeTimes::kHelpers; ++index) {
    const std::optional<Member> helper = DrawPeer();
    if (!helper || helper->entry_ == aDue.target_) {
      continue;
    }
    wire::Heartbeat request =
      MakeHeartbeat(wire::Heartbeat::INDIRECT_PROBE, aDue.probe_);
    request.set_target(aDue.target_.GetValue());
    Send(helper->entry_, helper->address_, std::move(request), aActions);
  }
}

void
Membership::SuspectMember(const EntryId& aEntry,
                          Time aNow,
                          ClusterActions& aActions)
{
  MemberTable::Entry* entry = table_.Find(aEntry);
  if (entry == nullptr || entry->suspectedSince_ ||
      !entry->member_.IsReachable()) {
    return;
  }
  if (entry->member_.state_ == MemberState::Leaving) {
    // A suspicion would rank below the leaving state; only the timer starts.
    entry->suspectedSince_ = aNow;
    return;
  }
  Member suspect = entry->member_;
  suspect.state_ = MemberState::Suspect;
  ApplyChange(suspect, aNow, Urgency::Urgent, aActions);
}

void
Membership::ExpireSuspicions(Time aNow, ClusterActions& aActions)
{
  std::vector<Member> expired;
  for (const auto& [id, entry] : table_.GetEntries()) {
    if (entry.suspectedSince_ && entry.member_.zone_ == settings_.zone_ &&
        entry.member_.IsReachable() &&
        aNow - *entry.suspectedSince_ >= kSuspicionTimeout) {
      expired.push_back(entry.member_);
    }
  }
  for (Member& member : expired) {
    member.state_ = MemberState::Dead;
    ApplyChange(member, aNow, Urgency::Urgent, aActions);
  }
}

std::vector<OutgoingMessage>
Membership::ListContacts() const
{
  std::vector<OutgoingMessage> contacts;
  std::vector<SocketAddress> known = { settings_.address_ };
  std::vector<AvailabilityZone> liveZones = { settings_.zone_ };
  const bool isDelegate = IsDelegate();
  for (const auto& [id, entry] : table_.GetEntries()) {
    const Member& member = entry.member_;
    if (member.IsReachable()) {
      known.push_back(member.address_);
      liveZones.push_back(member.zone_);
    } else if (member.zone_ == settings_.zone_ || isDelegate) {
      contacts.push_back({ id, member.address_, {}, false });
    }
  }
  const auto isKnown = [&](const SocketAddress& aAddress) {
    return std::find(known.begin(), known.end(), aAddress) != known.end();
  };
  for (const ListedEntry& listed : listed_) {
    const bool isNeeded =
      listed.zone_ == settings_.zone_ ||
      (isDelegate &&
       std::find(liveZones.begin(), liveZones.end(), listed.zone_) ==
         liveZones.end());
    if (isNeeded && !isKnown(listed.address_)) {
      contacts.push_back({ listed.entry_, listed.address_, {}, false });
    }
  }
  for (const SocketAddress& seed : settings_.seeds_) {
    if (!isKnown(seed)) {
      contacts.push_back({ EntryId(seed.Format()), seed, {}, false });
    }
  }
  return contacts;
}

void
Membership::ProbeContact(Time /*aNow*/, ClusterActions& aActions)
{
  const std::vector<OutgoingMessage> contacts = ListContacts();
  if (contacts.empty()) {
    return;
  }
  // A lone entry asks several at once, so that a start takes one round trip.
  const std::size_t count =
    CountZone() == 1 ? std::min<std::size_t>(contacts.size(), 3) : 1;
  for (std::size_t index = 0; index < count; ++index) {
    const OutgoingMessage& contact =
      contacts[random_.DrawBelow(contacts.size())];
    Send(contact.receiver_,
         contact.address_,
         MakeHeartbeat(wire::Heartbeat::PROBE),
         aActions);
  }
}

void
Membership::SyncWithMember(Time /*aNow*/, ClusterActions& aActions)
{
  const std::optional<Member> peer = DrawPeer();
  if (!peer) {
    return;
  }
  wire::Heartbeat sync = MakeHeartbeat(wire::Heartbeat::SYNC);
  AttachPage(sync);
  Send(peer->entry_, peer->address_, std::move(sync), aActions);
}

void
Membership::SyncWithZones(Time /*aNow*/, ClusterActions& aActions)
{
  if (!IsDelegate()) {
    return;
  }
  std::vector<EntryId> delegates;
  for (const AvailabilityZone& zone : ListZones()) {
    if (zone != settings_.zone_) {
      const auto chosen = GetSelector(zone).ChooseDelegates(zone);
      delegates.insert(delegates.end(), chosen.begin(), chosen.end());
    }
  }
  if (delegates.empty()) {
    return;
  }
  const EntryId& chosen = delegates[random_.DrawBelow(delegates.size())];
  wire::Heartbeat sync = MakeHeartbeat(wire::Heartbeat::SYNC);
  AttachPage(sync);
  Send(chosen, Find(chosen)->address_, std::move(sync), aActions);
}

void
Membership::ForgetMembers(Time aNow, ClusterActions& aActions)
{
  std::vector<EntryId> forgotten;
  for (const auto& [id, entry] : table_.GetEntries()) {
    if (!entry.member_.IsReachable() && aNow - entry.since_ >= kForgetAfter) {
      forgotten.push_back(id);
    }
  }
  for (const EntryId& id : forgotten) {
    table_.Erase(id);
    aActions.unusedPeers_.push_back(id);
  }
  peers_.reset();
}

} // namespace azurecross

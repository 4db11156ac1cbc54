#include "Feeder.h"

#include "GeneratedMessages.h"

#include <thread>

namespace azurecross {

namespace {

using namespace std::chrono_literals;

const std::string kZone = "helwan";
constexpr int kMembersPerPage = 16;
constexpr Duration kStep = 5ms;

} // namespace

Feeder::Feeder(const Scenario& aScenario, SocketAddress aEntryAddress)
  : scenario_(aScenario)
  , entryAddress_(std::move(aEntryAddress))
  , start_(ReadMonotonicTime())
  , nextSecond_(start_)
  , nextZones_(start_)
  , nextProgress_(start_)
{
  peers_.reserve(scenario_.peers_);
  for (int index = 0; index < scenario_.peers_; ++index) {
    AddPeer(index);
  }
  JoinPeers();
}

void
Feeder::AddPeer(int aIndex)
{
  const std::size_t position = peers_.size();
  Peer peer;
  // Number 0 is the measured entry.
  peer.id_ = MakeEntryId(kZone, aIndex + 1);
  PeerTransportSettings settings;
  settings.listenAddress_ = { "127.0.0.1", 0 };
  auto transport = PeerTransport::Start(
    settings,
    peer.id_,
    Incarnation(1),
    [this, position](wire::PeerMessage aMessage) {
      const std::lock_guard lock(mutex_);
      received_.push_back({ position, std::move(aMessage) });
    });
  if (!transport) {
    throw std::runtime_error("feeder can't listen");
  }
  peer.transport_ = std::move(*transport);
  peer.address_ = peer.transport_->GetListenAddress();
  MembershipSettings membership;
  membership.self_ = peer.id_;
  membership.incarnation_ = Incarnation(1);
  membership.zone_ = AvailabilityZone(kZone);
  membership.address_ = peer.address_;
  peer.view_ =
    std::make_unique<ClusterView>(std::move(membership), start_, position + 1);
  byAddress_[peer.address_] = position;
  peers_.push_back(std::move(peer));
}

void
Feeder::JoinPeers()
{
  // All peers know each other and the other zones before the entry joins.
  wire::PeerMessage all;
  wire::Heartbeat& heartbeat = *all.mutable_heartbeat();
  heartbeat.set_kind(wire::Heartbeat::SYNC_REPLY);
  for (const Peer& peer : peers_) {
    const Member& self = peer.view_->GetMembership().GetSelf();
    *heartbeat.mutable_self() = ToWire(self);
    *heartbeat.add_updates() = ToWire(self);
  }
  for (Peer& peer : peers_) {
    ClusterActions ignored;
    peer.view_->HandleMessage(all, start_, ignored);
    for (int zone = 0; zone < kOtherZones; ++zone) {
      for (int first = 0; first < kOtherZoneEntries; first += kMembersPerPage) {
        const int count = std::min(kMembersPerPage, kOtherZoneEntries - first);
        peer.view_->HandleMessage(
          MakeZoneMembers(wire::Heartbeat::SYNC_REPLY, zone, first, count, 1),
          start_,
          ignored);
      }
    }
  }
}

SocketAddress
Feeder::GetSeed() const
{
  return peers_.front().address_;
}

void
Feeder::Run()
{
  Time nextTick = start_;
  while (true) {
    const Time now = ReadMonotonicTime();
    HandleRemote(now);
    if (now >= nextTick) {
      nextTick = now + Membership::kTickInterval;
      Step(now);
    }
    DeliverLocal(now);
    FeedGrants(now);
    FeedTables(now);
    std::this_thread::sleep_for(kStep);
  }
}

void
Feeder::Step(Time aNow)
{
  for (std::size_t index = 0; index < peers_.size(); ++index) {
    ClusterActions actions;
    peers_[index].view_->Tick(aNow, actions);
    Submit(index, actions);
  }
  if (aNow >= nextSecond_) {
    nextSecond_ = aNow + 1s;
    PublishSummaries(aNow);
  }
  if (aNow >= nextZones_) {
    nextZones_ = aNow + SummaryBoard::kZoneInterval;
    FeedZones(aNow);
  }
}

void
Feeder::Submit(std::size_t aPeer, ClusterActions& aActions)
{
  Peer& peer = peers_[aPeer];
  for (OutgoingMessage& outgoing : aActions.messages_) {
    if (outgoing.address_ == entryAddress_) {
      peer.transport_->Send(std::move(outgoing));
      continue;
    }
    const auto local = byAddress_.find(outgoing.address_);
    if (local != byAddress_.end()) {
      outgoing.message_.set_sender(peer.id_.GetValue());
      local_.push_back({ local->second, std::move(outgoing.message_) });
    }
  }
}

void
Feeder::DeliverLocal(Time aNow)
{
  while (!local_.empty()) {
    const Received received = std::move(local_.front());
    local_.pop_front();
    ClusterActions actions;
    peers_[received.peer_].view_->HandleMessage(
      received.message_, aNow, actions);
    Submit(received.peer_, actions);
  }
}

void
Feeder::HandleRemote(Time aNow)
{
  std::vector<Received> received;
  {
    const std::lock_guard lock(mutex_);
    received.swap(received_);
  }
  for (const Received& item : received) {
    ClusterActions actions;
    if (peers_[item.peer_].view_->HandleMessage(item.message_, aNow, actions)) {
      Submit(item.peer_, actions);
    } else {
      Answer(item.peer_, item.message_);
    }
  }
}

void
Feeder::Answer(std::size_t aPeer, const wire::PeerMessage& aMessage)
{
  if (aMessage.has_grant_request()) {
    SendToEntry(aPeer, MakeGrantReply(aMessage.grant_request(), ++grants_));
  } else if (aMessage.has_table_request()) {
    SendToEntry(aPeer,
                MakeTableDelta(aMessage.table_request().have_revision() + 1));
  }
}

void
Feeder::PublishSummaries(Time aNow)
{
  for (int group = 0; group < CountGroups(scenario_); ++group) {
    const GroupId id = MakeGroupId(kZone, group);
    for (std::size_t index = 0; index < peers_.size(); ++index) {
      ClusterView& view = *peers_[index].view_;
      if (view.ChooseHome(id) == peers_[index].id_) {
        ClusterActions actions;
        view.GetSummaries().PublishGroup(
          MakeSummary(id, 500 + group), aNow, actions);
        Submit(index, actions);
      }
    }
  }
}

void
Feeder::FeedZones(Time aNow)
{
  // One peer gets the news of the other zones, as a delegate does.
  ++round_;
  for (int zone = 0; zone < kOtherZones; ++zone) {
    ClusterActions actions;
    peers_.front().view_->HandleMessage(
      MakeZoneSummaries(zone, round_), aNow, actions);
    Submit(0, actions);
  }
  // 4,330 failures and restarts a day are one record in 10 s, so two rounds.
  if (round_ % 2 == 0) {
    ClusterActions actions;
    peers_.front().view_->HandleMessage(
      MakeZoneMembers(wire::Heartbeat::UPDATE,
                      static_cast<int>(round_) % kOtherZones,
                      1,
                      1,
                      round_ + 1),
      aNow,
      actions);
    Submit(0, actions);
  }
}

void
Feeder::FeedGrants(Time aNow)
{
  if (scenario_.grantsServed_ <= 0.0) {
    return;
  }
  const double due = scenario_.grantsServed_ * ToSeconds(aNow - start_);
  while (static_cast<double>(released_) < due) {
    const std::size_t peer = released_++ % peers_.size();
    SendToEntry(peer, MakeGrantRequest(peers_[peer].id_, released_));
    SendToEntry(peer, MakeGrantRelease(released_));
  }
  if (aNow < nextProgress_) {
    return;
  }
  nextProgress_ = aNow + kProgressInterval;
  const int running =
    static_cast<int>(scenario_.grantsServed_ * kGenerationSeconds);
  const int share = running / static_cast<int>(peers_.size());
  for (std::size_t peer = 0; peer < peers_.size(); ++peer) {
    SendToEntry(peer, MakeProgress(released_ + peer * share, share));
  }
}

void
Feeder::FeedTables(Time aNow)
{
  const double due = scenario_.tableChanges_ * ToSeconds(aNow - start_);
  while (static_cast<double>(revision_) < due) {
    // Heartbeats announce the revision; a neighbour of the entry asks it.
    const std::size_t peer = ++revision_ % peers_.size();
    peers_[peer].view_->SetTableRevision(revision_);
    wire::PeerMessage request;
    request.mutable_table_request()->set_have_revision(revision_ - 1);
    SendToEntry(peer, std::move(request));
  }
}

void
Feeder::SendToEntry(std::size_t aPeer, wire::PeerMessage aMessage)
{
  peers_[aPeer].transport_->Send(
    { MakeEntryId(kZone, 0), entryAddress_, std::move(aMessage), false });
}

} // namespace azurecross

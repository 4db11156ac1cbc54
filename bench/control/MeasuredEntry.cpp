#include "MeasuredEntry.h"

#include "GeneratedMessages.h"
#include "ProcessUsage.h"

#include <boost/asio/post.hpp>

namespace azurecross {

namespace {

using namespace std::chrono_literals;

const std::string kZone = "helwan";
// Short enough for 90 grants a second to be spread out.
constexpr Duration kTimerInterval = 10ms;

std::uint64_t
CountBytes(const PeerTransportCounters& aCounters)
{
  return aCounters.sentBytes_ + aCounters.receivedBytes_ +
         kPeerFrameHeaderBytes *
           (aCounters.sentMessages_ + aCounters.receivedMessages_);
}

} // namespace

MeasuredEntry::MeasuredEntry(const Scenario& aScenario)
  : scenario_(aScenario)
  , timer_(context_)
{
  PeerTransportSettings settings;
  settings.listenAddress_ = { "127.0.0.1", 0 };
  auto transport = PeerTransport::Start(
    settings,
    MakeEntryId(kZone, 0),
    Incarnation(2),
    [this](wire::PeerMessage aMessage) {
      boost::asio::post(
        context_, [this, message = std::move(aMessage)] { Handle(message); });
    });
  if (!transport) {
    throw std::runtime_error("entry can't listen");
  }
  transport_ = std::move(*transport);
}

Measurement
MeasuredEntry::Run(const SocketAddress& aSeed)
{
  start_ = ReadMonotonicTime();
  nextTick_ = nextSecond_ = nextProgress_ = start_;
  MembershipSettings settings;
  settings.self_ = MakeEntryId(kZone, 0);
  settings.incarnation_ = Incarnation(2);
  settings.zone_ = AvailabilityZone(kZone);
  settings.address_ = GetAddress();
  settings.seeds_ = { aSeed };
  view_ = std::make_unique<ClusterView>(std::move(settings), start_, 99);
  RunTimers();
  context_.run_for(scenario_.warmUp_);
  const Reading before = TakeReading();
  bytesByKind_ = {};
  const std::uint64_t grantsBefore = granted_ + served_;
  context_.run_for(scenario_.duration_);
  const Reading after = TakeReading();

  const double seconds = ToSeconds(after.time_ - before.time_);
  const auto messages = [](const Reading& aReading) {
    return aReading.counters_.sentMessages_ +
           aReading.counters_.receivedMessages_;
  };
  Measurement result;
  result.cpuPercent_ =
    100.0 * ToSeconds(after.processor_ - before.processor_) / seconds;
  result.bytesPerSecond_ = static_cast<double>(CountBytes(after.counters_) -
                                               CountBytes(before.counters_)) /
                           seconds;
  result.messagesPerSecond_ =
    static_cast<double>(messages(after) - messages(before)) / seconds;
  result.residentMegabytes_ = ReadResidentMegabytes();
  result.members_ = view_->GetMembership().ListEligible().size();
  result.dropped_ =
    after.counters_.droppedMessages_ - before.counters_.droppedMessages_;
  for (std::size_t kind = 0; kind < kMessageKinds; ++kind) {
    result.bytesByKind_[kind] =
      static_cast<double>(bytesByKind_[kind]) / seconds;
  }
  result.grants_ = granted_ + served_ - grantsBefore;
  return result;
}

MeasuredEntry::Reading
MeasuredEntry::TakeReading() const
{
  return { ReadMonotonicTime(),
           ReadProcessorTime(),
           transport_->ReadCounters() };
}

void
MeasuredEntry::CountKind(const wire::PeerMessage& aMessage)
{
  if (scenario_.countsKinds_) {
    bytesByKind_.at(aMessage.body_case()) +=
      aMessage.ByteSizeLong() + kPeerFrameHeaderBytes;
  }
}

void
MeasuredEntry::Handle(const wire::PeerMessage& aMessage)
{
  CountKind(aMessage);
  if (view_->HandleMessage(aMessage, ReadMonotonicTime(), actions_)) {
    Submit();
  } else if (aMessage.has_grant_request()) {
    transport_->Send(EntryId(aMessage.sender()),
                     MakeGrantReply(aMessage.grant_request(), ++served_));
  } else if (aMessage.has_grant_reply()) {
    ++granted_;
  } else if (aMessage.has_table_delta()) {
    revision_ = std::max(revision_, aMessage.table_delta().to_revision());
    view_->SetTableRevision(revision_);
  } else if (aMessage.has_table_request()) {
    transport_->Send(EntryId(aMessage.sender()), MakeTableDelta(revision_ + 1));
  }
}

void
MeasuredEntry::RunTimers()
{
  const Time now = ReadMonotonicTime();
  if (now >= nextTick_) {
    nextTick_ = now + Membership::kTickInterval;
    view_->Tick(now, actions_);
    Submit();
  }
  if (now >= nextSecond_) {
    nextSecond_ = now + 1s;
    RunSecond(now);
  }
  AskForGrants(now);
  // The timer of the grants would add its own load where there are none.
  timer_.expires_after(
    scenario_.grantsAsked_ > 0.0 ? kTimerInterval : Membership::kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      RunTimers();
    }
  });
}

void
MeasuredEntry::RunSecond(Time aNow)
{
  view_->GetSummaries().PublishGroup(
    MakeSummary(MakeGroupId(kZone, 0), 500), aNow, actions_);
  Submit();
  const std::uint64_t known = view_->GetHighestRevision();
  for (; requestedRevision_ < known; ++requestedRevision_) {
    wire::PeerMessage request;
    request.mutable_table_request()->set_have_revision(requestedRevision_);
    transport_->Send(view_->GetMembership().GetRevisionHolder(),
                     std::move(request));
  }
}

void
MeasuredEntry::AskForGrants(Time aNow)
{
  if (scenario_.grantsAsked_ <= 0.0) {
    return;
  }
  const double due = scenario_.grantsAsked_ * ToSeconds(aNow - start_);
  while (static_cast<double>(asked_) < due) {
    SendToPeer(MakeGrantRequest(MakeEntryId(kZone, 0), ++asked_));
    // As many generations end as begin.
    SendToPeer(MakeGrantRelease(asked_));
  }
  if (aNow >= nextProgress_) {
    nextProgress_ = aNow + kProgressInterval;
    ReportProgress(aNow);
  }
}

void
MeasuredEntry::ReportProgress(Time /*aNow*/)
{
  const int running =
    static_cast<int>(scenario_.grantsAsked_ * kGenerationSeconds);
  const int homes = CountGroups(scenario_);
  for (int home = 0; home < homes; ++home) {
    SendToPeer(MakeProgress(asked_ + home, running / homes));
  }
}

void
MeasuredEntry::SendToPeer(wire::PeerMessage aMessage)
{
  const auto& peers = view_->GetMembership().ListPeers();
  if (!peers.empty()) {
    const Member& peer = peers[random_.DrawBelow(peers.size())];
    CountKind(aMessage);
    transport_->Send(
      { peer.entry_, peer.address_, std::move(aMessage), false });
  }
}

void
MeasuredEntry::Submit()
{
  transport_->SetIncarnation(view_->GetMembership().GetIncarnation());
  for (OutgoingMessage& outgoing : actions_.messages_) {
    // The entries of other zones are played by nobody.
    if (outgoing.address_.port_ != 9) {
      CountKind(outgoing.message_);
      transport_->Send(std::move(outgoing));
    }
  }
  for (const EntryId& peer : actions_.unusedPeers_) {
    transport_->RemovePeer(peer);
  }
  actions_.Clear();
}

} // namespace azurecross

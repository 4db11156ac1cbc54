#include "PeerBridge.h"

#include <boost/asio/post.hpp>

namespace azurecross {

PeerBridge::PeerBridge(boost::asio::io_context& aContext,
                       const ControlSettings& aSettings,
                       MessageHandler aMessageHandler,
                       ChangeHandler aChangeHandler)
  : context_(aContext)
  , settings_(aSettings)
  , messageHandler_(std::move(aMessageHandler))
  , changeHandler_(std::move(aChangeHandler))
{
}

Result<void>
PeerBridge::Start()
{
  const Incarnation incarnation(
    static_cast<std::uint64_t>(ReadUnixMilliseconds()));
  PeerTransportSettings transport;
  transport.listenAddress_ = settings_.peerListen_;
  const auto receive =
    [this, alive = std::weak_ptr<bool>(alive_)](wire::PeerMessage aMessage) {
      boost::asio::post(context_, [this, alive, message = std::move(aMessage)] {
        if (!alive.expired()) {
          Receive(message);
        }
      });
    };
  BOOST_LEAF_ASSIGN(
    transport_,
    PeerTransport::Start(transport, settings_.entryId_, incarnation, receive));
  MembershipSettings membership;
  membership.self_ = settings_.entryId_;
  membership.incarnation_ = incarnation;
  membership.zone_ = settings_.availabilityZone_;
  membership.address_ = settings_.peerAddress_;
  if (membership.address_.port_ == 0) {
    membership.address_.port_ = transport_->GetListenAddress().port_;
  }
  membership.size_ = settings_.weight_;
  membership.seeds_ = settings_.seedPeers_;
  cluster_ = std::make_unique<ClusterView>(
    std::move(membership), ReadMonotonicTime(), DrawSystemSeed());
  return {};
}

void
PeerBridge::Stop()
{
  alive_.reset();
  transport_.reset();
}

void
PeerBridge::Tick(Time aNow)
{
  ClusterActions actions;
  cluster_->Tick(aNow, actions);
  Process(std::move(actions));
}

void
PeerBridge::AnnounceLeaving(Time aNow)
{
  ClusterActions actions;
  cluster_->AnnounceLeaving(aNow, actions);
  Process(std::move(actions));
}

void
PeerBridge::Receive(const wire::PeerMessage& aMessage)
{
  ClusterActions actions;
  const bool isHandled =
    cluster_->HandleMessage(aMessage, ReadMonotonicTime(), actions);
  Process(std::move(actions));
  if (!isHandled) {
    messageHandler_(aMessage);
  }
}

void
PeerBridge::Process(ClusterActions aActions)
{
  if (transport_ == nullptr) {
    return;
  }
  transport_->SetIncarnation(cluster_->GetMembership().GetIncarnation());
  for (OutgoingMessage& message : aActions.messages_) {
    transport_->Send(std::move(message));
  }
  for (const EntryId& peer : aActions.unusedPeers_) {
    transport_->RemovePeer(peer);
  }
  if (!aActions.changes_.empty()) {
    changeHandler_(aActions.changes_);
  }
}

void
PeerBridge::Send(const EntryId& aEntry, wire::PeerMessage aMessage)
{
  const Member* member = cluster_->GetMembership().Find(aEntry);
  if (member == nullptr || transport_ == nullptr) {
    return;
  }
  OutgoingMessage outgoing;
  outgoing.receiver_ = aEntry;
  outgoing.address_ = member->address_;
  outgoing.message_ = std::move(aMessage);
  transport_->Send(std::move(outgoing));
}

void
PeerBridge::Send(std::vector<PeerAction> aActions)
{
  for (PeerAction& action : aActions) {
    Send(action.receiver_, std::move(action.message_));
  }
}

PeerTransportCounters
PeerBridge::ReadCounters() const
{
  return transport_ == nullptr ? PeerTransportCounters{}
                               : transport_->ReadCounters();
}

SocketAddress
PeerBridge::GetListenAddress() const
{
  return transport_->GetListenAddress();
}

} // namespace azurecross

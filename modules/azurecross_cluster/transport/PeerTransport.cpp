#include "PeerTransport.h"

#include "../messages/EnvelopeFilter.h"
#include "NngHandles.h"
#include "PeerLink.h"

#include <nng/protocol/pipeline0/pull.h>

#include <map>
#include <mutex>

namespace azurecross {

/** The listener, the links and their bookkeeping. */
class PeerTransport::Implementation
{
public:
  Implementation(const PeerTransportSettings& aSettings,
                 EntryId aSelf,
                 Incarnation aIncarnation,
                 Receiver aReceiver)
    : settings_(aSettings)
    , stamper_(std::move(aSelf), aIncarnation)
    , receiver_(std::move(aReceiver))
  {
  }

  ~Implementation()
  {
    socket_.Close();
    operation_.Stop();
  }

  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  /** @returns an nng error, or 0. */
  int Listen()
  {
    int status = operation_.Allocate(&Implementation::OnReceived, this);
    if (status == 0) {
      status = socket_.Open(nng_pull0_open);
    }
    if (status != 0) {
      return status;
    }
    nng_socket_set_size(socket_.Get(), NNG_OPT_RECVMAXSZ, kLongestPeerMessage);
    const std::string url = "tcp://" + settings_.listenAddress_.Format();
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    status = nng_listen(socket_.Get(), url.c_str(), &listener, 0);
    if (status != 0) {
      return status;
    }
    int port = 0;
    status = nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    listenAddress_ = { settings_.listenAddress_.host_,
                       static_cast<std::uint16_t>(port) };
    nng_recv_aio(socket_.Get(), operation_.Get());
    return status;
  }

  void AddPeer(const EntryId& aPeer, const SocketAddress& aAddress)
  {
    std::shared_ptr<PeerLink> replaced;
    const std::lock_guard lock(mutex_);
    EnsureLink(aPeer, aAddress, false, replaced);
  }

  void RemovePeer(const EntryId& aPeer)
  {
    std::shared_ptr<PeerLink> removed;
    const std::lock_guard lock(mutex_);
    const auto found = links_.find(aPeer);
    if (found == links_.end()) {
      return;
    }
    removed = std::move(found->second);
    links_.erase(found);
  }

  void Send(const EntryId& aPeer, wire::PeerMessage aMessage)
  {
    const std::lock_guard lock(mutex_);
    const auto found = links_.find(aPeer);
    if (found == links_.end()) {
      ++counts_.droppedMessages_;
      return;
    }
    SendOnLink(aPeer, *found->second, aMessage);
  }

  void Send(OutgoingMessage aMessage)
  {
    std::shared_ptr<PeerLink> replaced;
    const std::lock_guard lock(mutex_);
    PeerLink& link = EnsureLink(
      aMessage.receiver_, aMessage.address_, aMessage.redial_, replaced);
    SendOnLink(aMessage.receiver_, link, aMessage.message_);
  }

  void SetIncarnation(Incarnation aIncarnation)
  {
    const std::lock_guard lock(mutex_);
    stamper_.SetIncarnation(aIncarnation);
  }

  std::size_t CountPeers() const
  {
    const std::lock_guard lock(mutex_);
    return links_.size();
  }

  PeerTransportCounters ReadCounters() const
  {
    PeerTransportCounters counters;
    counters.sentMessages_ = counts_.sentMessages_;
    counters.sentBytes_ = counts_.sentBytes_;
    counters.receivedMessages_ = counts_.receivedMessages_;
    counters.receivedBytes_ = counts_.receivedBytes_;
    counters.droppedMessages_ = counts_.droppedMessages_;
    counters.malformedMessages_ = counts_.malformedMessages_;
    counters.rejectedMessages_ = counts_.rejectedMessages_;
    counters.blockedMessages_ = counts_.blockedMessages_;
    return counters;
  }

  const SocketAddress& GetListenAddress() const { return listenAddress_; }
  LinkFilter& GetLinkFilter() { return filter_; }

private:
  static void OnReceived(void* aImplementation)
  {
    static_cast<Implementation*>(aImplementation)->FinishReceive();
  }

  /**
   * Needs the lock. A link that was replaced is handed out, so that the caller
   * destroys it after unlocking.
   */
  PeerLink& EnsureLink(const EntryId& aPeer,
                       const SocketAddress& aAddress,
                       bool aRedial,
                       std::shared_ptr<PeerLink>& aReplaced)
  {
    std::shared_ptr<PeerLink>& link = links_[aPeer];
    if (link == nullptr || aRedial || link->GetAddress() != aAddress) {
      aReplaced = std::move(link);
      link = std::make_shared<PeerLink>(settings_, aAddress, counts_);
    }
    return *link;
  }

  /** Needs the lock, so that sequence numbers are queued in order. */
  void SendOnLink(const EntryId& aPeer,
                  PeerLink& aLink,
                  wire::PeerMessage& aMessage)
  {
    if (filter_.IsBlocked(aPeer)) {
      ++counts_.blockedMessages_;
      return;
    }
    stamper_.Stamp(aLink.GetAddress(), aMessage);
    aLink.Send(NngMessage::Copy(EncodePeerMessage(aMessage)));
  }

  void FinishReceive()
  {
    const int status = nng_aio_result(operation_.Get());
    if (status == NNG_ECLOSED || status == NNG_ECANCELED) {
      return;
    }
    if (status != 0) {
      nng_recv_aio(socket_.Get(), operation_.Get());
      return;
    }
    const NngMessage message(nng_aio_get_msg(operation_.Get()));
    nng_aio_set_msg(operation_.Get(), nullptr);
    Deliver(message.GetBytes());
    nng_recv_aio(socket_.Get(), operation_.Get());
  }

  void Deliver(std::string_view aBytes)
  {
    ++counts_.receivedMessages_;
    counts_.receivedBytes_ += aBytes.size();
    Result<wire::PeerMessage> decoded = DecodePeerMessage(aBytes);
    if (!decoded) {
      ++counts_.malformedMessages_;
      return;
    }
    if (filter_.IsBlocked(EntryId(decoded->sender()))) {
      ++counts_.blockedMessages_;
      return;
    }
    if (envelopes_.Check(*decoded) != EnvelopeDecision::Accepted) {
      ++counts_.rejectedMessages_;
      return;
    }
    receiver_(std::move(*decoded));
  }

  const PeerTransportSettings settings_;
  SocketAddress listenAddress_;
  mutable std::mutex mutex_;
  EnvelopeStamper stamper_;
  TransportCounts counts_;
  std::map<EntryId, std::shared_ptr<PeerLink>> links_;
  LinkFilter filter_;
  /** Used by the receive callback only. */
  EnvelopeFilter envelopes_;
  Receiver receiver_;
  NngSocket socket_;
  NngOperation operation_;
};

Result<std::unique_ptr<PeerTransport>>
PeerTransport::Start(const PeerTransportSettings& aSettings,
                     EntryId aSelf,
                     Incarnation aIncarnation,
                     Receiver aReceiver)
{
  auto implementation = std::make_unique<Implementation>(
    aSettings, std::move(aSelf), aIncarnation, std::move(aReceiver));
  const int status = implementation->Listen();
  if (status != 0) {
    return MakeFailure(ErrorCode::Internal,
                       Verdict::NotRun,
                       "can't listen for peers on " +
                         aSettings.listenAddress_.Format() + ": " +
                         nng_strerror(status));
  }
  return std::unique_ptr<PeerTransport>(
    new PeerTransport(std::move(implementation)));
}

PeerTransport::PeerTransport(std::unique_ptr<Implementation> aImplementation)
  : implementation_(std::move(aImplementation))
{
}

PeerTransport::~PeerTransport() = default;

SocketAddress
PeerTransport::GetListenAddress() const
{
  return implementation_->GetListenAddress();
}

void
PeerTransport::AddPeer(const EntryId& aPeer, const SocketAddress& aAddress)
{
  implementation_->AddPeer(aPeer, aAddress);
}

void
PeerTransport::RemovePeer(const EntryId& aPeer)
{
  implementation_->RemovePeer(aPeer);
}

std::size_t
PeerTransport::CountPeers() const
{
  return implementation_->CountPeers();
}

void
PeerTransport::Send(const EntryId& aPeer, wire::PeerMessage aMessage)
{
  implementation_->Send(aPeer, std::move(aMessage));
}

void
PeerTransport::Send(OutgoingMessage aMessage)
{
  implementation_->Send(std::move(aMessage));
}

void
PeerTransport::SetIncarnation(Incarnation aIncarnation)
{
  implementation_->SetIncarnation(aIncarnation);
}

LinkFilter&
PeerTransport::GetLinkFilter()
{
  return implementation_->GetLinkFilter();
}

PeerTransportCounters
PeerTransport::ReadCounters() const
{
  return implementation_->ReadCounters();
}

} // namespace azurecross

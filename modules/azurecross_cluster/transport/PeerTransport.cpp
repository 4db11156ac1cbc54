#include "PeerTransport.h"

#include "../messages/EnvelopeFilter.h"
#include "PeerConnection.h"
#include "PeerLink.h"

#include <boost/asio/post.hpp>

#include <map>
#include <mutex>
#include <thread>

namespace azurecross {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using SystemError = boost::system::error_code;

// Without the pause, a process at its limit of descriptors accepts in a busy
// loop.
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);

} // namespace

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
    , context_(1)
    , acceptor_(context_)
    , acceptTimer_(context_)
  {
  }

  ~Implementation()
  {
    // Handlers run in order, so what was sent before is written first as far as
    // the kernel takes it.
    asio::post(context_, [this] { context_.stop(); });
  }

  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  /** Listens and starts the thread. */
  SystemError Listen()
  {
    SystemError error;
    const tcp::endpoint endpoint = ResolveListenAddress(error);
    if (!error) {
      acceptor_.open(endpoint.protocol(), error);
    }
    if (!error) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      acceptor_.bind(endpoint, error);
    }
    if (!error) {
      acceptor_.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (error) {
      return error;
    }
    listenAddress_ = { settings_.listenAddress_.host_,
                       acceptor_.local_endpoint(error).port() };
    Accept();
    thread_ = std::jthread([this] { context_.run(); });
    return error;
  }

  void AddPeer(const EntryId& aPeer, const SocketAddress& aAddress)
  {
    const std::lock_guard lock(mutex_);
    EnsureLink(aPeer, aAddress, false);
  }

  void RemovePeer(const EntryId& aPeer)
  {
    const std::lock_guard lock(mutex_);
    const auto found = links_.find(aPeer);
    if (found == links_.end()) {
      return;
    }
    found->second->Close();
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
    const std::lock_guard lock(mutex_);
    PeerLink& link =
      EnsureLink(aMessage.receiver_, aMessage.address_, aMessage.redial_);
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
  tcp::endpoint ResolveListenAddress(SystemError& aError)
  {
    const SocketAddress& address = settings_.listenAddress_;
    tcp::resolver resolver(context_);
    const auto results =
      resolver.resolve(address.host_,
                       std::to_string(address.port_),
                       tcp::resolver::passive | tcp::resolver::numeric_service,
                       aError);
    return aError || results.empty() ? tcp::endpoint()
                                     : results.begin()->endpoint();
  }

  void Accept()
  {
    acceptor_.async_accept(
      [this](const SystemError& aError, tcp::socket aSocket) {
        if (aError == asio::error::operation_aborted) {
          return;
        }
        if (aError) {
          AcceptAfterPause();
          return;
        }
        StartConnection(std::move(aSocket));
        Accept();
      });
  }

  void AcceptAfterPause()
  {
    acceptTimer_.expires_after(kAcceptPause);
    acceptTimer_.async_wait([this](const SystemError& aError) {
      if (!aError) {
        Accept();
      }
    });
  }

  void StartConnection(tcp::socket aSocket)
  {
    std::make_shared<PeerConnection>(
      std::move(aSocket),
      [this](std::string_view aBytes) { Deliver(aBytes); },
      [this] { ++counts_.malformedMessages_; })
      ->Start();
  }

  /** Needs the lock. */
  PeerLink& EnsureLink(const EntryId& aPeer,
                       const SocketAddress& aAddress,
                       bool aRedial)
  {
    std::shared_ptr<PeerLink>& link = links_[aPeer];
    if (link != nullptr && !aRedial && link->GetAddress() == aAddress) {
      return *link;
    }
    if (link != nullptr) {
      link->Close();
    }
    link = std::make_shared<PeerLink>(context_, settings_, aAddress, counts_);
    link->Open();
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
    aLink.Send(EncodePeerMessage(aMessage));
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
  LinkFilter filter_;
  /** Used on the transport thread only. */
  EnvelopeFilter envelopes_;
  Receiver receiver_;
  asio::io_context context_;
  tcp::acceptor acceptor_;
  asio::steady_timer acceptTimer_;
  std::map<EntryId, std::shared_ptr<PeerLink>> links_;
  /** Last, so that it has ended before anything that it uses is destroyed. */
  std::jthread thread_;
};

Result<std::unique_ptr<PeerTransport>>
PeerTransport::Start(const PeerTransportSettings& aSettings,
                     EntryId aSelf,
                     Incarnation aIncarnation,
                     Receiver aReceiver)
{
  auto implementation = std::make_unique<Implementation>(
    aSettings, std::move(aSelf), aIncarnation, std::move(aReceiver));
  const SystemError error = implementation->Listen();
  if (error) {
    return MakeFailure(ErrorCode::Internal,
                       Verdict::NotRun,
                       "can't listen for peers on " +
                         aSettings.listenAddress_.Format() + ": " +
                         error.message());
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

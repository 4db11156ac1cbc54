#pragma once

#include "../grants/GrantActions.h"
#include "ControlSettings.h"

#include <azurecross_cluster/azurecross_cluster.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace azurecross {

/**
 * Joins the cluster view with the transport: feeds it messages and time, sends
 * what it decides, and reports changes of members. Runs on the control thread.
 */
class PeerBridge
{
public:
  /** Takes a message that is neither about members nor gossip. */
  using MessageHandler = std::function<void(const wire::PeerMessage&)>;
  using ChangeHandler = std::function<void(const std::vector<Member>&)>;

  PeerBridge(boost::asio::io_context& aContext,
             const ControlSettings& aSettings,
             MessageHandler aMessageHandler,
             ChangeHandler aChangeHandler);

  /** Binds the peer port and joins the seeds. */
  Result<void> Start();
  /** Closes the transport; no handler is called any more. */
  void Stop();

  void Tick(Time aNow);
  void AnnounceLeaving(Time aNow);
  /** Sends to an entry; dropped if its address is not known. */
  void Send(const EntryId& aEntry, wire::PeerMessage aMessage);
  void Send(std::vector<PeerAction> aActions);
  /** Carries out what another part of the cluster module decided. */
  void Process(ClusterActions aActions);

  ClusterView& GetView() { return *cluster_; }
  const ClusterView& GetView() const { return *cluster_; }
  const Membership& GetMembership() const { return cluster_->GetMembership(); }
  PeerTransportCounters ReadCounters() const;
  LinkFilter& GetLinkFilter() { return transport_->GetLinkFilter(); }
  SocketAddress GetListenAddress() const;

private:
  void Receive(const wire::PeerMessage& aMessage);

  boost::asio::io_context& context_;
  const ControlSettings& settings_;
  MessageHandler messageHandler_;
  ChangeHandler changeHandler_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<ClusterView> cluster_;
  /** Expires with this object; a posted message checks it. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace azurecross

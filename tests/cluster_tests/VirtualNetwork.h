#pragma once

#include <azurecross_cluster/azurecross_cluster.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace azurecross {

/**
 * Many `ClusterView` objects on a virtual clock, joined by an in-memory
 * network with loss, duplication, delay, cuts and paused nodes. Messages pass
 * through the envelope and its encoding as in the transport.
 */
class VirtualNetwork
{
public:
  struct Node
  {
    MembershipSettings settings_;
    std::unique_ptr<ClusterView> view_;
    std::unique_ptr<EnvelopeStamper> stamper_;
    EnvelopeFilter filter_;
    bool isKilled_ = false;
    bool isPaused_ = false;
    /** Received while paused, read after it. */
    std::vector<std::string> unread_;
    std::uint64_t sentMessages_ = 0;
    std::uint64_t sentBytes_ = 0;
    std::size_t largestMessage_ = 0;
    std::vector<Member> changes_;
  };

  explicit VirtualNetwork(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  /** Adds a member of a zone; the first members of all zones are seeds. */
  EntryId Add(const std::string& aZone, double aSize = 1.0)
  {
    EntryId id("entry-" + aZone + "-" + std::to_string(nodes_.size()));
    MembershipSettings settings;
    settings.self_ = id;
    settings.incarnation_ = Incarnation(1000 + nodes_.size());
    settings.zone_ = AvailabilityZone(aZone);
    settings.address_ = { "10.0.0.1",
                          static_cast<std::uint16_t>(7000 + nodes_.size()) };
    settings.size_ = aSize;
    settings.seeds_ = seeds_;
    if (seedZones_.insert(aZone).second) {
      seeds_.push_back(settings.address_);
    }
    Start(settings);
    return id;
  }

  /** Starts a node, or starts it again with a later incarnation. */
  void Start(const MembershipSettings& aSettings)
  {
    Node& node = nodes_[aSettings.self_];
    node = Node{};
    node.settings_ = aSettings;
    node.view_ =
      std::make_unique<ClusterView>(aSettings, now_, random_.DrawBits());
    node.stamper_ = std::make_unique<EnvelopeStamper>(aSettings.self_,
                                                      aSettings.incarnation_);
    addresses_[aSettings.address_] = aSettings.self_;
  }

  void AddZone(const std::string& aZone, int aCount)
  {
    for (int index = 0; index < aCount; ++index) {
      Add(aZone);
    }
  }

  /** Runs the virtual clock in ticks. */
  void Run(Duration aDuration)
  {
    const Time end = now_ + aDuration;
    while (now_ < end) {
      now_ += kTick;
      Deliver();
      for (auto& [id, node] : nodes_) {
        if (node.isKilled_ || node.isPaused_) {
          continue;
        }
        ReadUnread(node);
        ClusterActions actions;
        node.view_->Tick(now_, actions);
        Submit(id, actions);
      }
    }
  }

  /** @returns how long it took until the condition held, or nothing. */
  std::optional<Duration> RunUntil(const std::function<bool()>& aCondition,
                                   Duration aLongest)
  {
    const Time start = now_;
    while (!aCondition()) {
      if (now_ - start >= aLongest) {
        return std::nullopt;
      }
      Run(kTick);
    }
    return now_ - start;
  }

  /** Takes over the messages and changes of a call on a node's view. */
  void Submit(const EntryId& aSender, ClusterActions& aActions)
  {
    Node& node = nodes_.at(aSender);
    node.stamper_->SetIncarnation(node.view_->GetMembership().GetIncarnation());
    for (Member& change : aActions.changes_) {
      node.changes_.push_back(std::move(change));
    }
    for (OutgoingMessage& outgoing : aActions.messages_) {
      node.stamper_->Stamp(outgoing.address_, outgoing.message_);
      const std::string bytes = EncodePeerMessage(outgoing.message_);
      ++node.sentMessages_;
      node.sentBytes_ += bytes.size();
      node.largestMessage_ = std::max(node.largestMessage_, bytes.size());
      const auto receiver = addresses_.find(outgoing.address_);
      if (receiver == addresses_.end() || IsCut(aSender, receiver->second)) {
        continue;
      }
      Carry(receiver->second, bytes);
    }
  }

  bool IsCut(const EntryId& aFirst, const EntryId& aSecond) const
  {
    return isCut_ && isCut_(aFirst, aSecond);
  }

  Node& Get(const EntryId& aEntry) { return nodes_.at(aEntry); }
  Membership& GetMembership(const EntryId& aEntry)
  {
    return nodes_.at(aEntry).view_->GetMembership();
  }
  Gossip& GetGossip(const EntryId& aEntry)
  {
    return nodes_.at(aEntry).view_->GetGossip();
  }
  std::map<EntryId, Node>& GetNodes() { return nodes_; }
  Time GetNow() const { return now_; }

  /** @returns whether all running nodes but one see it in this state. */
  bool AllSee(const EntryId& aEntry, MemberState aState)
  {
    for (auto& [id, node] : nodes_) {
      if (id == aEntry || node.isKilled_ || node.isPaused_ ||
          node.settings_.zone_ != nodes_.at(aEntry).settings_.zone_) {
        continue;
      }
      const Member* member = node.view_->GetMembership().Find(aEntry);
      if (member == nullptr || member->state_ != aState) {
        return false;
      }
    }
    return true;
  }

  /** @returns whether each running node sees all of its zone as eligible. */
  bool ZonesAreComplete()
  {
    std::map<AvailabilityZone, std::size_t> counts;
    for (auto& [id, node] : nodes_) {
      counts[node.settings_.zone_] += node.isKilled_ ? 0 : 1;
    }
    for (auto& [id, node] : nodes_) {
      if (!node.isKilled_ &&
          node.view_->GetMembership().ListEligible().size() !=
            counts[node.settings_.zone_]) {
        return false;
      }
    }
    return true;
  }

  double loss_ = 0.0;
  double duplication_ = 0.0;
  /** Whether the link between two nodes is cut. */
  std::function<bool(const EntryId&, const EntryId&)> isCut_;

private:
  struct Transit
  {
    Time arrival_;
    std::uint64_t order_ = 0;
    EntryId receiver_;
    std::string bytes_;

    bool operator>(const Transit& aOther) const
    {
      return std::tie(arrival_, order_) >
             std::tie(aOther.arrival_, aOther.order_);
    }
  };

  static constexpr Duration kTick = Membership::kTickInterval;

  void Carry(const EntryId& aReceiver, const std::string& aBytes)
  {
    const int copies = random_.DrawUnit() < duplication_ ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (random_.DrawUnit() >= loss_) {
        const Duration delay =
          std::chrono::microseconds(200 + random_.DrawBelow(2000));
        transit_.push({ now_ + delay, ++order_, aReceiver, aBytes });
      }
    }
  }

  void Deliver()
  {
    // Answers to messages of this tick arrive within it.
    const Time tick = now_;
    while (!transit_.empty() && transit_.top().arrival_ <= tick) {
      const Transit transit = transit_.top();
      transit_.pop();
      Node& node = nodes_.at(transit.receiver_);
      if (node.isPaused_) {
        node.unread_.push_back(transit.bytes_);
      } else if (!node.isKilled_) {
        now_ = transit.arrival_;
        Handle(node, transit.bytes_);
      }
    }
    now_ = tick;
  }

  void ReadUnread(Node& aNode)
  {
    for (const std::string& bytes : std::exchange(aNode.unread_, {})) {
      Handle(aNode, bytes);
    }
  }

  void Handle(Node& aNode, const std::string& aBytes)
  {
    const auto message = DecodePeerMessage(aBytes);
    if (!message ||
        aNode.filter_.Check(*message) != EnvelopeDecision::Accepted) {
      return;
    }
    ClusterActions actions;
    aNode.view_->HandleMessage(*message, now_, actions);
    Submit(aNode.settings_.self_, actions);
  }

  Random random_;
  Time now_ = Time(std::chrono::hours(1));
  std::map<EntryId, Node> nodes_;
  std::map<SocketAddress, EntryId> addresses_;
  std::vector<SocketAddress> seeds_;
  std::set<std::string> seedZones_;
  std::uint64_t order_ = 0;
  std::priority_queue<Transit, std::vector<Transit>, std::greater<>> transit_;
};

} // namespace azurecross

#pragma once

#include "../gossip/Gossip.h"
#include "../gossip/SummaryBoard.h"
#include "../membership/Membership.h"

namespace azurecross {

/**
 * Joins `Membership` and `Gossip`: hands each the messages that are its own and
 * keeps the gossip peers in step with the members.
 *
 * @code
 * ClusterActions actions;
 * view.HandleMessage(message, now, actions); // or view.Tick(now, actions)
 * transport.SetIncarnation(view.GetMembership().GetIncarnation());
 * for (OutgoingMessage& outgoing : actions.messages_) {
 *   transport.Send(std::move(outgoing));
 * }
 * for (const EntryId& peer : actions.unusedPeers_) {
 *   transport.RemovePeer(peer);
 * }
 * @endcode
 */
class ClusterView
{
public:
  ClusterView(MembershipSettings aSettings, Time aNow, std::uint64_t aSeed);
  ClusterView(const ClusterView&) = delete;
  ClusterView& operator=(const ClusterView&) = delete;

  /** @returns whether the message was for membership or gossip. */
  bool HandleMessage(const wire::PeerMessage& aMessage,
                     Time aNow,
                     ClusterActions& aActions);

  /** Runs all timers; call it every `Membership::kTickInterval`. */
  void Tick(Time aNow, ClusterActions& aActions);

  /** Announces the planned stop of this entry to the zone at once. */
  void AnnounceLeaving(Time aNow, ClusterActions& aActions);

  /** Sets the table revision in force here. */
  void SetTableRevision(std::uint64_t aRevision);

  /** @returns the highest table revision known to exist. */
  std::uint64_t GetHighestRevision() const;

  /** @returns the home entry of a group, of this zone or another. */
  std::optional<EntryId> ChooseHome(const GroupId& aGroup) const;

  Membership& GetMembership() { return membership_; }
  const Membership& GetMembership() const { return membership_; }
  Gossip& GetGossip() { return gossip_; }
  const Gossip& GetGossip() const { return gossip_; }
  SummaryBoard& GetSummaries() { return summaries_; }
  const SummaryBoard& GetSummaries() const { return summaries_; }

private:
  void ApplyChanges(const ClusterActions& aActions,
                    std::size_t aFirst,
                    Time aNow);
  bool IsFirstDelegate() const;

  const MembershipSettings settings_;
  Membership membership_;
  Gossip gossip_;
  SummaryBoard summaries_;
};

} // namespace azurecross

#include "ClusterView.h"

#include <algorithm>

namespace azurecross {

ClusterView::ClusterView(MembershipSettings aSettings,
                         Time aNow,
                         std::uint64_t aSeed)
  : settings_(std::move(aSettings))
  , membership_(settings_, aNow, aSeed)
  , gossip_(settings_.self_,
            settings_.incarnation_,
            settings_.zone_,
            aNow,
            // Any other seed; the two must not draw the same numbers.
            ~aSeed,
            [this](const EntryId& aOrigin) {
              const Member* member = membership_.Find(aOrigin);
              return member != nullptr && !member->IsReachable();
            })
  , summaries_(gossip_, settings_.zone_)
{
}

bool
ClusterView::HandleMessage(const wire::PeerMessage& aMessage,
                           Time aNow,
                           ClusterActions& aActions)
{
  if (aMessage.has_heartbeat()) {
    const std::size_t first = aActions.changes_.size();
    membership_.HandleMessage(aMessage, aNow, aActions);
    ApplyChanges(aActions, first, aNow);
    return true;
  }
  if (aMessage.has_gossip_digest() || aMessage.has_gossip_delta()) {
    gossip_.HandleMessage(aMessage, aNow, aActions);
    return true;
  }
  return false;
}

void
ClusterView::Tick(Time aNow, ClusterActions& aActions)
{
  const std::size_t first = aActions.changes_.size();
  membership_.Tick(aNow, aActions);
  ApplyChanges(aActions, first, aNow);
  if (IsFirstDelegate()) {
    summaries_.PublishZone(aNow, aActions);
  }
  gossip_.Tick(aNow, aActions);
}

void
ClusterView::AnnounceLeaving(Time aNow, ClusterActions& aActions)
{
  const std::size_t first = aActions.changes_.size();
  membership_.AnnounceLeaving(aNow, aActions);
  ApplyChanges(aActions, first, aNow);
}

void
ClusterView::SetTableRevision(std::uint64_t aRevision)
{
  membership_.SetTableRevision(aRevision);
  gossip_.RaiseTableRevision(aRevision);
}

std::uint64_t
ClusterView::GetHighestRevision() const
{
  return std::max(membership_.GetHighestRevision(), gossip_.GetTableRevision());
}

std::optional<EntryId>
ClusterView::ChooseHome(const GroupId& aGroup) const
{
  return membership_.GetSelector(aGroup.zone_).ChooseHome(aGroup);
}

void
ClusterView::ApplyChanges(const ClusterActions& aActions,
                          std::size_t aFirst,
                          Time aNow)
{
  if (aActions.changes_.size() == aFirst) {
    return;
  }
  for (std::size_t index = aFirst; index < aActions.changes_.size(); ++index) {
    const Member& member = aActions.changes_[index];
    if (member.entry_ == settings_.self_) {
      gossip_.PublishAgain(aNow);
    }
    if (member.state_ == MemberState::Dead) {
      gossip_.DropOrigin(member.entry_);
    }
  }
  std::vector<Member> otherDelegates;
  if (membership_.IsDelegate()) {
    for (const AvailabilityZone& zone : membership_.ListZones()) {
      if (zone == settings_.zone_) {
        continue;
      }
      for (const EntryId& id :
           membership_.GetSelector(zone).ChooseDelegates(zone)) {
        otherDelegates.push_back(*membership_.Find(id));
      }
    }
  }
  gossip_.SetPeers(membership_.ListPeers(), std::move(otherDelegates));
}

bool
ClusterView::IsFirstDelegate() const
{
  const auto delegates =
    membership_.GetSelector(settings_.zone_).ChooseDelegates(settings_.zone_);
  return !delegates.empty() && delegates.front() == settings_.self_;
}

} // namespace azurecross

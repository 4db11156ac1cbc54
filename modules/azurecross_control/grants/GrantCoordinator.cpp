#include "GrantCoordinator.h"

#include <algorithm>

namespace azurecross {

GrantCoordinator::GrantCoordinator(EntryId aSelf,
                                   AvailabilityZone aZone,
                                   const ArbiterOptions& aOptions,
                                   std::uint64_t aSeed)
  : self_(std::move(aSelf))
  , zone_(std::move(aZone))
  , options_(aOptions)
  , seed_(aSeed)
  , selector_(zone_, aSeed)
  , groups_(std::make_shared<GroupMap>())
{
}

void
GrantCoordinator::SetGroups(std::shared_ptr<const GroupMap> aGroups,
                            Time aNow,
                            GrantActions& aActions)
{
  groups_ = std::move(aGroups);
  selector_.SetGroups(groups_);
  static const GroupMap::Group kNoServers{};
  for (auto& [group, home] : homes_) {
    const auto found = groups_->groups_.find(group);
    ArbiterActions decisions;
    home.SetServers(found == groups_->groups_.end() ? kNoServers
                                                    : found->second,
                    aNow,
                    decisions);
    DeliverHome(group, home, decisions, aNow, aActions);
  }
  for (auto& [group, arbiter] : fixedShares_) {
    const auto found = groups_->groups_.find(group);
    ArbiterActions decisions;
    arbiter.SetBackendServers(found == groups_->groups_.end()
                                ? kNoServers.servers_
                                : found->second.servers_,
                              aNow,
                              decisions);
    Deliver(group, decisions, aNow, aActions);
  }
}

void
GrantCoordinator::SetHomes(HomeView aView, Time aNow, GrantActions& aActions)
{
  std::vector<GroupId> moved;
  for (const auto& [group, home] : aView.homes_) {
    const auto previous = view_.homes_.find(group);
    if (previous == view_.homes_.end() || previous->second != home) {
      moved.push_back(group);
    }
  }
  view_ = std::move(aView);
  std::erase_if(homes_, [&](const auto& aItem) {
    const auto home = FindHome(aItem.first);
    return !home || *home != self_;
  });
  const auto members = std::max<std::size_t>(1, view_.zoneMembers_.size());
  for (auto& [group, arbiter] : fixedShares_) {
    arbiter.SetCapacityDivisor(static_cast<std::uint32_t>(members));
  }
  for (const GroupId& group : moved) {
    MoveHome(group, aNow, aActions);
  }
}

void
GrantCoordinator::MoveHome(const GroupId& aGroup,
                           Time aNow,
                           GrantActions& aActions)
{
  if (FindHome(aGroup) == self_ && !IsHome(aGroup)) {
    BecomeHome(aGroup, aNow, aActions);
  } else {
    SendInFlight(aGroup, aActions);
  }
  std::vector<RequestId> affected;
  for (const auto& [request, pending] : pending_) {
    if (pending.group_ == aGroup && !pending.usesFixedShare_) {
      affected.push_back(request);
    }
  }
  for (const RequestId& request : affected) {
    // A request submitted before this one may have changed the others.
    const auto found = pending_.find(request);
    if (found != pending_.end()) {
      Submit(found->second, aNow, aActions);
    }
  }
}

void
GrantCoordinator::BecomeHome(const GroupId& aGroup,
                             Time aNow,
                             GrantActions& aActions)
{
  std::set<EntryId> peers;
  if (aGroup.zone_ == zone_) {
    peers = view_.zoneMembers_;
    peers.erase(self_);
  }
  auto [position, isNew] = homes_.try_emplace(
    aGroup, MakeOptions(aGroup, "home"), std::move(peers), aNow);
  HomeGroup& home = position->second;
  ArbiterActions decisions;
  const auto found = groups_->groups_.find(aGroup);
  if (found != groups_->groups_.end()) {
    home.SetServers(found->second, aNow, decisions);
  }
  home.TakeInFlight(self_, ListInFlight(aGroup), aNow, decisions);
  for (const EntryId& member : view_.zoneMembers_) {
    if (member != self_) {
      PeerAction action{ member, {} };
      auto* request = action.message_.mutable_in_flight_request();
      request->set_pool(aGroup.pool_.GetValue());
      request->set_shard(aGroup.shard_);
      aActions.messages_.push_back(std::move(action));
    }
  }
  DeliverHome(aGroup, home, decisions, aNow, aActions);
}

void
GrantCoordinator::RemoveEntry(const EntryId& aEntry,
                              Time aNow,
                              GrantActions& aActions)
{
  for (auto& [group, home] : homes_) {
    ArbiterActions decisions;
    home.RemoveEntry(aEntry, aNow, decisions);
    DeliverHome(group, home, decisions, aNow, aActions);
  }
}

void
GrantCoordinator::Request(const PoolName& aPool,
                          GrantRequest aRequest,
                          Time aNow,
                          GrantActions& aActions)
{
  aRequest.entry_ = self_;
  const auto hasHome = [this](const GroupId& aGroup) {
    return FindHome(aGroup).has_value();
  };
  const auto group = selector_.Choose(aPool, aRequest, hasHome);
  if (!group) {
    aActions.refused_.push_back({ aRequest.request_,
                                  ErrorCode::NoBackendServer,
                                  std::chrono::seconds(1) });
    return;
  }
  const RequestId id = aRequest.request_;
  auto [position, isNew] = pending_.try_emplace(id);
  if (!isNew) {
    return;
  }
  position->second.group_ = *group;
  position->second.request_ = std::move(aRequest);
  Submit(position->second, aNow, aActions);
}

void
GrantCoordinator::Submit(PendingRequest& aPending,
                         Time aNow,
                         GrantActions& aActions)
{
  const GroupId group = aPending.group_;
  const auto own = homes_.find(group);
  if (own != homes_.end()) {
    ArbiterActions decisions;
    aPending.isAcknowledged_ = true;
    aPending.sent_ = aNow;
    own->second.Enqueue(aPending.request_, aNow, decisions);
    DeliverHome(group, own->second, decisions, aNow, aActions);
    return;
  }
  const auto home = FindHome(group);
  if (!home || IsHomeSilent(*home, aNow)) {
    UseFixedShare(aPending, aNow, aActions);
    return;
  }
  aPending.sent_ = aNow;
  aPending.isAcknowledged_ = false;
  PeerAction action{ *home, {} };
  *action.message_.mutable_grant_request() =
    ToWire(aPending.request_, group, aNow);
  aActions.messages_.push_back(std::move(action));
}

void
GrantCoordinator::UseFixedShare(PendingRequest& aPending,
                                Time aNow,
                                GrantActions& aActions)
{
  const GroupId group = aPending.group_;
  aPending.usesFixedShare_ = true;
  ArbiterActions decisions;
  GetFixedShareArbiter(group, aNow).Enqueue(aPending.request_, aNow, decisions);
  Deliver(group, decisions, aNow, aActions);
}

Arbiter&
GrantCoordinator::GetFixedShareArbiter(const GroupId& aGroup, Time aNow)
{
  const auto found = fixedShares_.find(aGroup);
  if (found != fixedShares_.end()) {
    return found->second;
  }
  Arbiter& arbiter =
    fixedShares_.try_emplace(aGroup, MakeOptions(aGroup, "share"))
      .first->second;
  ArbiterActions none;
  const auto group = groups_->groups_.find(aGroup);
  if (group != groups_->groups_.end()) {
    arbiter.SetBackendServers(group->second.servers_, aNow, none);
  }
  arbiter.SetCapacityDivisor(static_cast<std::uint32_t>(
    std::max<std::size_t>(1, view_.zoneMembers_.size())));
  arbiter.ReportInFlight(ListInFlight(aGroup), aNow);
  return arbiter;
}

ArbiterOptions
GrantCoordinator::MakeOptions(const GroupId& aGroup, std::string_view aUse)
{
  ArbiterOptions options = options_;
  const std::string name =
    self_.GetValue() + "/" + std::string(aUse) + "/" + aGroup.pool_.GetValue() +
    "/" + aGroup.zone_.GetValue() + "/" + std::to_string(aGroup.shard_) + "/" +
    std::to_string(++arbiterCount_);
  options.seed_ = HashBytes(name, seed_);
  return options;
}

std::optional<EntryId>
GrantCoordinator::FindHome(const GroupId& aGroup) const
{
  const auto found = view_.homes_.find(aGroup);
  if (found == view_.homes_.end()) {
    return std::nullopt;
  }
  return found->second;
}

bool
GrantCoordinator::IsHomeSilent(const EntryId& aHome, Time aNow) const
{
  const auto found = silentHomes_.find(aHome);
  return found != silentHomes_.end() && aNow < found->second;
}

void
GrantCoordinator::Cancel(const RequestId& aRequest,
                         Time aNow,
                         GrantActions& aActions)
{
  const auto found = pending_.find(aRequest);
  if (found == pending_.end()) {
    const auto isSame = [&](const auto& aItem) {
      return aItem.second.request_.request_ == aRequest;
    };
    const auto held = std::find_if(held_.begin(), held_.end(), isSame);
    if (held != held_.end()) {
      Release(held->first, GrantOutcome::Cancelled, 0, aNow, aActions);
    }
    return;
  }
  const PendingRequest pending = std::move(found->second);
  pending_.erase(found);
  ArbiterActions decisions;
  const auto share = fixedShares_.find(pending.group_);
  if (share != fixedShares_.end()) {
    share->second.Cancel(aRequest, aNow, decisions);
    Deliver(pending.group_, decisions, aNow, aActions);
  }
  const auto own = homes_.find(pending.group_);
  if (own != homes_.end()) {
    decisions.clear();
    own->second.Cancel(aRequest, aNow, decisions);
    DeliverHome(pending.group_, own->second, decisions, aNow, aActions);
    return;
  }
  if (const auto home = FindHome(pending.group_)) {
    PeerAction action{ *home, {} };
    auto* cancel = action.message_.mutable_grant_cancel();
    cancel->set_request(aRequest.GetValue());
    cancel->set_pool(pending.group_.pool_.GetValue());
    cancel->set_shard(pending.group_.shard_);
    aActions.messages_.push_back(std::move(action));
  }
}

void
GrantCoordinator::ReportProgress(GrantId aGrant, std::uint32_t aTokens)
{
  const auto found = held_.find(aGrant);
  if (found != held_.end()) {
    found->second.tokens_ = aTokens;
  }
}

void
GrantCoordinator::Release(GrantId aGrant,
                          GrantOutcome aOutcome,
                          std::uint32_t aTokens,
                          Time aNow,
                          GrantActions& aActions)
{
  const auto found = held_.find(aGrant);
  if (found == held_.end()) {
    return;
  }
  const GroupId group = found->second.group_;
  held_.erase(found);
  ReleaseEverywhere(group, aGrant, aOutcome, aTokens, aNow, aActions);
}

void
GrantCoordinator::ReleaseEverywhere(const GroupId& aGroup,
                                    GrantId aGrant,
                                    GrantOutcome aOutcome,
                                    std::uint32_t aTokens,
                                    Time aNow,
                                    GrantActions& aActions)
{
  const auto share = fixedShares_.find(aGroup);
  if (share != fixedShares_.end()) {
    ArbiterActions decisions;
    share->second.ReportTotalTokens(aGrant, aTokens, aNow);
    share->second.Release(aGrant, aOutcome, aNow, decisions);
    Deliver(aGroup, decisions, aNow, aActions);
  }
  const auto own = homes_.find(aGroup);
  if (own != homes_.end()) {
    ArbiterActions decisions;
    own->second.GetArbiter().ReportTotalTokens(aGrant, aTokens, aNow);
    own->second.Release(aGrant, aOutcome, aNow, decisions);
    DeliverHome(aGroup, own->second, decisions, aNow, aActions);
    return;
  }
  if (const auto home = FindHome(aGroup)) {
    PeerAction action{ *home, {} };
    auto* release = action.message_.mutable_grant_release();
    release->set_grant(aGrant.GetValue());
    release->set_outcome(std::string(kGrantOutcomeNames.FindName(aOutcome)));
    release->set_tokens(aTokens);
    aActions.messages_.push_back(std::move(action));
  }
}

void
GrantCoordinator::Deliver(const GroupId& aGroup,
                          const ArbiterActions& aDecisions,
                          Time aNow,
                          GrantActions& aActions)
{
  for (const ArbiterAction& decision : aDecisions) {
    if (const auto* grant = std::get_if<GrantAction>(&decision)) {
      TakeGrant(aGroup, *grant, aNow, aActions);
    } else if (const auto* refusal = std::get_if<RefuseAction>(&decision)) {
      TakeRefusal(*refusal, aActions);
    }
  }
}

void
GrantCoordinator::DeliverHome(const GroupId& aGroup,
                              HomeGroup& aHome,
                              const ArbiterActions& aDecisions,
                              Time aNow,
                              GrantActions& aActions)
{
  aHome.NoteGrants(aDecisions, aNow);
  for (const ArbiterAction& decision : aDecisions) {
    PeerAction action;
    auto* reply = action.message_.mutable_grant_reply();
    if (const auto* grant = std::get_if<GrantAction>(&decision)) {
      if (grant->entry_ == self_) {
        TakeGrant(aGroup, *grant, aNow, aActions);
        continue;
      }
      action.receiver_ = grant->entry_;
      reply->set_request(grant->request_.GetValue());
      reply->mutable_granted()->set_grant(grant->grant_.GetValue());
      reply->mutable_granted()->set_backend_server(
        grant->backendServer_.GetValue());
    } else if (const auto* refusal = std::get_if<RefuseAction>(&decision)) {
      if (refusal->entry_ == self_) {
        TakeRefusal(*refusal, aActions);
        continue;
      }
      action.receiver_ = refusal->entry_;
      reply->set_request(refusal->request_.GetValue());
      reply->mutable_refused()->set_reason(
        std::string(kErrorCodeNames.FindName(refusal->reason_)));
      reply->mutable_refused()->set_retry_after_ms(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
          refusal->retryAfter_)
          .count()));
    } else {
      continue;
    }
    aActions.messages_.push_back(std::move(action));
  }
}

void
GrantCoordinator::TakeGrant(const GroupId& aGroup,
                            const GrantAction& aGrant,
                            Time aNow,
                            GrantActions& aActions)
{
  if (held_.contains(aGrant.grant_)) {
    return;
  }
  const auto found = pending_.find(aGrant.request_);
  if (found == pending_.end()) {
    // The request was cancelled or granted elsewhere in the meantime.
    ReleaseEverywhere(
      aGroup, aGrant.grant_, GrantOutcome::Cancelled, 0, aNow, aActions);
    return;
  }
  HeldGrant held;
  held.group_ = aGroup;
  held.request_ = std::move(found->second.request_);
  held.backendServer_ = aGrant.backendServer_;
  pending_.erase(found);
  held_.emplace(aGrant.grant_, std::move(held));
  aActions.granted_.push_back(
    { aGrant.request_, aGrant.grant_, aGrant.backendServer_ });
}

void
GrantCoordinator::TakeRefusal(const RefuseAction& aRefusal,
                              GrantActions& aActions)
{
  if (pending_.erase(aRefusal.request_) > 0) {
    aActions.refused_.push_back(
      { aRefusal.request_, aRefusal.reason_, aRefusal.retryAfter_ });
  }
}

void
GrantCoordinator::ReportLoad(const GroupId& aGroup,
                             const BackendServerLoad& aLoad,
                             Time aNow,
                             GrantActions& aActions)
{
  const auto own = homes_.find(aGroup);
  if (own == homes_.end()) {
    return;
  }
  ArbiterActions decisions;
  own->second.GetArbiter().ReportLoad(aLoad, aNow, decisions);
  DeliverHome(aGroup, own->second, decisions, aNow, aActions);
}

std::vector<GroupId>
GrantCoordinator::ListHomeGroups() const
{
  std::vector<GroupId> groups;
  groups.reserve(homes_.size());
  for (const auto& [group, home] : homes_) {
    groups.push_back(group);
  }
  return groups;
}

std::optional<GroupSummary>
GrantCoordinator::FindSummary(const GroupId& aGroup) const
{
  const auto found = homes_.find(aGroup);
  if (found == homes_.end()) {
    return std::nullopt;
  }
  return found->second.GetArbiter().Summarize();
}

std::optional<double>
GrantCoordinator::FindPeak(const GroupId& aGroup) const
{
  const auto found = homes_.find(aGroup);
  if (found == homes_.end()) {
    return std::nullopt;
  }
  return found->second.GetArbiter().GetBusiestMinuteTokens();
}

void
GrantCoordinator::LoadPeak(const GroupId& aGroup, double aPeak)
{
  const auto found = homes_.find(aGroup);
  if (found != homes_.end()) {
    found->second.GetArbiter().RestoreBusiestMinuteTokens(aPeak);
  }
}

void
GrantCoordinator::StartMonth(const GroupId& aGroup)
{
  const auto found = homes_.find(aGroup);
  if (found != homes_.end()) {
    found->second.GetArbiter().StartMonth();
  }
}

void
GrantCoordinator::SetSaturation(const GroupId& aGroup, double aSaturation)
{
  if (!IsHome(aGroup)) {
    selector_.SetSaturation(aGroup, aSaturation);
  }
}

std::vector<std::string>
GrantCoordinator::Explain(const RequestId& aRequest) const
{
  for (const auto& [group, home] : homes_) {
    auto reasons = home.GetArbiter().Explain(aRequest);
    if (!reasons.empty()) {
      return reasons;
    }
  }
  for (const auto& [group, arbiter] : fixedShares_) {
    auto reasons = arbiter.Explain(aRequest);
    if (!reasons.empty()) {
      reasons.insert(reasons.begin(),
                     "decided by this entry within its fixed share, because "
                     "the home entry did not answer");
      return reasons;
    }
  }
  const auto found = pending_.find(aRequest);
  if (found != pending_.end()) {
    const auto home = FindHome(found->second.group_);
    return { "waits at the home entry " +
             (home ? home->GetValue() : std::string("(none)")) };
  }
  return {};
}

} // namespace azurecross

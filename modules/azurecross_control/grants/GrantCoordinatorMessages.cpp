#include "GrantCoordinator.h"

#include <algorithm>

namespace azurecross {

std::vector<InFlightGrant>
GrantCoordinator::ListInFlight(const GroupId& aGroup) const
{
  std::vector<InFlightGrant> grants;
  for (const auto& [grant, held] : held_) {
    if (held.group_ == aGroup) {
      grants.push_back(
        { grant, held.request_, held.backendServer_, held.tokens_ });
    }
  }
  std::sort(grants.begin(),
            grants.end(),
            [](const InFlightGrant& aLeft, const InFlightGrant& aRight) {
              return aLeft.grant_ < aRight.grant_;
            });
  return grants;
}

void
GrantCoordinator::SendInFlight(const GroupId& aGroup, GrantActions& aActions)
{
  const auto home = FindHome(aGroup);
  if (!home || *home == self_) {
    return;
  }
  PeerAction action{ *home, {} };
  auto* report = action.message_.mutable_in_flight_report();
  report->set_pool(aGroup.pool_.GetValue());
  report->set_shard(aGroup.shard_);
  for (const auto& [grant, held] : held_) {
    if (held.group_ == aGroup) {
      *report->add_items() = ToWire(grant, held);
    }
  }
  aActions.messages_.push_back(std::move(action));
}

bool
GrantCoordinator::Receive(const wire::PeerMessage& aMessage,
                          Time aNow,
                          GrantActions& aActions)
{
  const EntryId sender(aMessage.sender());
  silentHomes_.erase(sender);
  switch (aMessage.body_case()) {
    case wire::PeerMessage::kGrantRequest:
      HandleRequest(sender, aMessage.grant_request(), aNow, aActions);
      return true;
    case wire::PeerMessage::kGrantReply:
      HandleReply(sender, aMessage.grant_reply(), aNow, aActions);
      return true;
    case wire::PeerMessage::kGrantProgress:
      HandleProgress(aMessage.grant_progress(), aNow, aActions);
      return true;
    case wire::PeerMessage::kGrantRelease:
      HandleRelease(aMessage.grant_release(), aNow, aActions);
      return true;
    case wire::PeerMessage::kGrantCancel:
      HandleCancel(aMessage.grant_cancel(), aNow, aActions);
      return true;
    case wire::PeerMessage::kInFlightReport:
      HandleInFlight(sender, aMessage.in_flight_report(), aNow, aActions);
      return true;
    case wire::PeerMessage::kInFlightRequest:
      SendInFlight({ PoolName(aMessage.in_flight_request().pool()),
                     zone_,
                     aMessage.in_flight_request().shard() },
                   aActions);
      return true;
    default:
      return false;
  }
}

void
GrantCoordinator::HandleRequest(const EntryId& aSender,
                                const wire::GrantRequest& aMessage,
                                Time aNow,
                                GrantActions& aActions)
{
  const GroupId group = GetGroup(aMessage, zone_);
  const auto own = homes_.find(group);
  if (own == homes_.end()) {
    // The views differ. The sender uses its fixed share until they agree.
    return;
  }
  GrantRequest request = FromWire(aMessage, aNow);
  request.entry_ = aSender;
  PeerAction acknowledgement{ aSender, {} };
  acknowledgement.message_.mutable_grant_reply()->set_request(
    aMessage.request());
  aActions.messages_.push_back(std::move(acknowledgement));
  ArbiterActions decisions;
  own->second.Enqueue(request, aNow, decisions);
  DeliverHome(group, own->second, decisions, aNow, aActions);
}

void
GrantCoordinator::HandleReply(const EntryId& aSender,
                              const wire::GrantReply& aMessage,
                              Time aNow,
                              GrantActions& aActions)
{
  const RequestId request(aMessage.request());
  const auto found = pending_.find(request);
  if (aMessage.has_granted()) {
    const GrantId id(aMessage.granted().grant());
    const BackendServerId server(aMessage.granted().backend_server());
    if (found != pending_.end()) {
      const GroupId group = found->second.group_;
      TakeGrant(group, { request, self_, id, server }, aNow, aActions);
    } else if (!held_.contains(id)) {
      PeerAction action{ aSender, {} };
      auto* release = action.message_.mutable_grant_release();
      release->set_grant(id.GetValue());
      release->set_outcome(
        std::string(kGrantOutcomeNames.FindName(GrantOutcome::Cancelled)));
      aActions.messages_.push_back(std::move(action));
    }
    return;
  }
  if (found == pending_.end()) {
    return;
  }
  if (aMessage.has_refused()) {
    const auto reason = kErrorCodeNames.FindValue(aMessage.refused().reason())
                          .value_or(ErrorCode::QueueFull);
    const std::chrono::milliseconds retryAfter(
      aMessage.refused().retry_after_ms());
    TakeRefusal({ request, self_, reason, retryAfter }, aActions);
    return;
  }
  found->second.isAcknowledged_ = true;
}

void
GrantCoordinator::HandleProgress(const wire::GrantProgress& aMessage,
                                 Time aNow,
                                 GrantActions& aActions)
{
  for (const auto& item : aMessage.items()) {
    const GrantId grant(item.grant());
    for (auto& [group, home] : homes_) {
      if (!home.Holds(grant)) {
        continue;
      }
      ArbiterActions decisions;
      home.GetArbiter().ReportProgress(
        grant, static_cast<std::uint32_t>(item.tokens()), aNow, decisions);
      DeliverHome(group, home, decisions, aNow, aActions);
      break;
    }
  }
}

void
GrantCoordinator::HandleRelease(const wire::GrantRelease& aMessage,
                                Time aNow,
                                GrantActions& aActions)
{
  const GrantId grant(aMessage.grant());
  const auto outcome = kGrantOutcomeNames.FindValue(aMessage.outcome())
                         .value_or(GrantOutcome::Cancelled);
  for (auto& [group, home] : homes_) {
    if (!home.Holds(grant)) {
      continue;
    }
    ArbiterActions decisions;
    home.GetArbiter().ReportTotalTokens(
      grant, static_cast<std::uint32_t>(aMessage.tokens()), aNow);
    home.Release(grant, outcome, aNow, decisions);
    DeliverHome(group, home, decisions, aNow, aActions);
    return;
  }
}

void
GrantCoordinator::HandleCancel(const wire::GrantCancel& aMessage,
                               Time aNow,
                               GrantActions& aActions)
{
  const GroupId group{ PoolName(aMessage.pool()), zone_, aMessage.shard() };
  const auto own = homes_.find(group);
  if (own == homes_.end()) {
    return;
  }
  ArbiterActions decisions;
  own->second.Cancel(RequestId(aMessage.request()), aNow, decisions);
  DeliverHome(group, own->second, decisions, aNow, aActions);
}

void
GrantCoordinator::HandleInFlight(const EntryId& aSender,
                                 const wire::InFlightReport& aMessage,
                                 Time aNow,
                                 GrantActions& aActions)
{
  const GroupId group{ PoolName(aMessage.pool()), zone_, aMessage.shard() };
  const auto own = homes_.find(group);
  if (own == homes_.end()) {
    return;
  }
  std::vector<InFlightGrant> grants;
  grants.reserve(static_cast<std::size_t>(aMessage.items_size()));
  for (const auto& item : aMessage.items()) {
    grants.push_back(FromWire(item, aSender));
  }
  ArbiterActions decisions;
  own->second.TakeInFlight(aSender, grants, aNow, decisions);
  DeliverHome(group, own->second, decisions, aNow, aActions);
}

void
GrantCoordinator::Tick(Time aNow, GrantActions& aActions)
{
  for (auto& [group, home] : homes_) {
    ArbiterActions decisions;
    home.Tick(aNow, decisions);
    DeliverHome(group, home, decisions, aNow, aActions);
    selector_.SetSaturation(group, home.GetArbiter().Summarize().saturation_);
  }
  for (auto& [group, arbiter] : fixedShares_) {
    ArbiterActions decisions;
    arbiter.Tick(aNow, decisions);
    Deliver(group, decisions, aNow, aActions);
  }
  CheckPending(aNow, aActions);
  if (aNow - lastProgress_ >= kProgressInterval) {
    lastProgress_ = aNow;
    SendProgress(aNow, aActions);
  }
  if (aNow - lastReport_ >= kReportInterval) {
    lastReport_ = aNow;
    SendReports(aNow, aActions);
  }
}

void
GrantCoordinator::CheckPending(Time aNow, GrantActions& aActions)
{
  std::vector<RequestId> due;
  for (const auto& [request, pending] : pending_) {
    const bool isOverdue = pending.request_.deadline_ != Time::max() &&
                           aNow > pending.request_.deadline_ + kDeadlineGrace;
    const Duration limit =
      pending.isAcknowledged_ ? kRepeatAfter : kHomeTimeout;
    const bool isUnanswered =
      !pending.usesFixedShare_ && aNow - pending.sent_ >= limit;
    if (isOverdue || isUnanswered) {
      due.push_back(request);
    }
  }
  for (const RequestId& request : due) {
    const auto found = pending_.find(request);
    if (found == pending_.end()) {
      continue;
    }
    PendingRequest& pending = found->second;
    if (pending.request_.deadline_ != Time::max() &&
        aNow > pending.request_.deadline_ + kDeadlineGrace) {
      Cancel(request, aNow, aActions);
      aActions.refused_.push_back(
        { request, ErrorCode::DeadlineExceeded, std::chrono::seconds(1) });
      continue;
    }
    if (!pending.isAcknowledged_) {
      if (const auto home = FindHome(pending.group_)) {
        silentHomes_[*home] = aNow + kHomeRetry;
      }
    }
    Submit(pending, aNow, aActions);
  }
}

void
GrantCoordinator::SendProgress(Time aNow, GrantActions& aActions)
{
  std::map<GroupId, std::vector<std::pair<GrantId, std::uint32_t>>> changed;
  for (auto& [grant, held] : held_) {
    if (held.tokens_ != held.reportedTokens_) {
      held.reportedTokens_ = held.tokens_;
      changed[held.group_].emplace_back(grant, held.tokens_);
    }
  }
  std::map<EntryId, PeerAction> byHome;
  for (const auto& [group, items] : changed) {
    ArbiterActions decisions;
    const auto share = fixedShares_.find(group);
    if (share != fixedShares_.end()) {
      for (const auto& [grant, tokens] : items) {
        share->second.ReportProgress(grant, tokens, aNow, decisions);
      }
      Deliver(group, decisions, aNow, aActions);
    }
    const auto own = homes_.find(group);
    if (own != homes_.end()) {
      decisions.clear();
      for (const auto& [grant, tokens] : items) {
        own->second.GetArbiter().ReportProgress(grant, tokens, aNow, decisions);
      }
      DeliverHome(group, own->second, decisions, aNow, aActions);
      continue;
    }
    if (const auto home = FindHome(group)) {
      PeerAction& action = byHome[*home];
      action.receiver_ = *home;
      auto* progress = action.message_.mutable_grant_progress();
      for (const auto& [grant, tokens] : items) {
        auto* item = progress->add_items();
        item->set_grant(grant.GetValue());
        item->set_tokens(tokens);
      }
    }
  }
  for (auto& [home, action] : byHome) {
    aActions.messages_.push_back(std::move(action));
  }
}

void
GrantCoordinator::SendReports(Time aNow, GrantActions& aActions)
{
  std::set<GroupId> groups;
  for (const auto& [grant, held] : held_) {
    groups.insert(held.group_);
  }
  // A home also needs the list of an entry whose last release was lost.
  for (const auto& [group, home] : view_.homes_) {
    if (group.zone_ == zone_) {
      groups.insert(group);
    }
  }
  for (const GroupId& group : groups) {
    const auto own = homes_.find(group);
    if (own != homes_.end()) {
      ArbiterActions decisions;
      own->second.TakeInFlight(self_, ListInFlight(group), aNow, decisions);
      DeliverHome(group, own->second, decisions, aNow, aActions);
    } else {
      SendInFlight(group, aActions);
    }
  }
}

} // namespace azurecross

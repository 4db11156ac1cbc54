#include "ControlLoop.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace azurecross {

namespace json = boost::json;

namespace {

std::string
FormatGroup(const GroupId& aGroup)
{
  return aGroup.pool_.GetValue() + "/" + aGroup.zone_.GetValue() + "/" +
         std::to_string(aGroup.shard_);
}

json::object
DescribeMember(const Member& aMember)
{
  return { { "entry", aMember.entry_.GetValue() },
           { "state", kMemberStateNames.FindName(aMember.state_) },
           { "incarnation", aMember.incarnation_.GetValue() },
           { "address", aMember.address_.Format() } };
}

json::object
DescribeSummary(const GroupId& aGroup,
                const GroupSummary& aSummary,
                double aPeak)
{
  constexpr auto kUrgent = static_cast<std::size_t>(Rank::Urgent);
  constexpr auto kLesser = static_cast<std::size_t>(Rank::Lesser);
  return { { "group", FormatGroup(aGroup) },
           { "queued_urgent", aSummary.queued_.at(kUrgent) },
           { "queued_lesser", aSummary.queued_.at(kLesser) },
           { "running_urgent", aSummary.running_.at(kUrgent) },
           { "running_lesser", aSummary.running_.at(kLesser) },
           { "slots", aSummary.slots_ },
           { "saturation", aSummary.saturation_ },
           { "busiest_minute_tokens", aPeak } };
}

json::object
DescribePeers(const PeerTransportCounters& aCounters)
{
  return { { "sent_messages", aCounters.sentMessages_ },
           { "sent_bytes", aCounters.sentBytes_ },
           { "received_messages", aCounters.receivedMessages_ },
           { "received_bytes", aCounters.receivedBytes_ },
           { "dropped_messages", aCounters.droppedMessages_ } };
}

} // namespace

std::string
ControlLoop::DescribeStatus() const
{
  const TableRevision& revision = tables_.GetState().GetRevision();
  json::object status;
  status["entry"] = settings_.entryId_.GetValue();
  status["availability_zone"] = settings_.availabilityZone_.GetValue();
  status["version"] = GetVersion();
  status["is_ready"] =
    tables_.GetState().GetTables() != nullptr && !view_.isDraining_;
  status["is_draining"] = view_.isDraining_.load();
  json::object tables = { { "revision", revision.number_ },
                          { "edit_id", revision.editId_ } };
  if (const auto& refusal = tables_.GetState().GetRefusal()) {
    tables["refusal"] = refusal->message_;
  }
  status["tables"] = std::move(tables);
  status["is_store_watcher"] = peers_.GetMembership().IsWatcher();
  status["store_calls"] = tables_.GetStore().GetCallCount();
  json::array members;
  for (const Member& member : peers_.GetMembership().ListEligible()) {
    members.push_back(DescribeMember(member));
  }
  status["members"] = std::move(members);
  json::array groups;
  for (const GroupId& group : grants_.ListHomeGroups()) {
    if (const auto summary = grants_.FindSummary(group)) {
      const double peak = grants_.FindPeak(group).value_or(0.0);
      groups.push_back(DescribeSummary(group, *summary, peak));
    }
  }
  status["home_groups"] = std::move(groups);
  status["backend_servers"] = groups_->servers_.size();
  status["pending_requests"] = grants_.CountPending();
  status["held_grants"] = grants_.CountHeld();
  status["operation_records"] = operations_.CountRecords();
  status["peers"] = DescribePeers(peers_.ReadCounters());
  return json::serialize(status);
}

std::string
ControlLoop::Explain(const RequestId& aCallerRequest) const
{
  json::object answer;
  answer["request_id"] = aCallerRequest.GetValue();
  json::array reasons;
  const auto found = recentIds_.find(aCallerRequest);
  if (found == recentIds_.end()) {
    reasons.emplace_back("this entry has not dispatched such a request, or it "
                         "is no longer among the last 10000");
  } else {
    for (std::string& reason : grants_.Explain(found->second)) {
      reasons.emplace_back(std::move(reason));
    }
  }
  if (reasons.empty()) {
    reasons.emplace_back(
      "the request has ended; its home entry no longer keeps the reasons");
  }
  answer["reasons"] = std::move(reasons);
  return json::serialize(answer);
}

std::string
ControlLoop::ExplainRoute(const RouteQuery& aQuery) const
{
  json::object answer;
  json::array reasons;
  const Tables::Version& tables = tables_.GetState().GetTables();
  const Route* route =
    tables == nullptr
      ? nullptr
      : tables->FindRoute(
          aQuery.method_, aQuery.path_, aQuery.model_, aQuery.customer_);
  if (route == nullptr) {
    reasons.emplace_back(tables == nullptr ? "no valid tables yet"
                                           : "no route matches");
    answer["reasons"] = std::move(reasons);
    return json::serialize(answer);
  }
  answer["route"] = route->name_.GetValue();
  answer["pool"] = route->pool_.GetValue();
  answer["rank"] = kRankNames.FindName(route->rank_);
  answer["idempotent"] = IsIdempotent(*route, aQuery.method_);
  reasons.emplace_back("route " + route->name_.GetValue() +
                       " has the lowest priority_order of those that match, "
                       "then the most specific fields");
  const Membership& membership = peers_.GetMembership();
  for (const auto& [group, content] : groups_->groups_) {
    if (group.pool_ != route->pool_) {
      continue;
    }
    const auto home = membership.GetSelector(group.zone_).ChooseHome(group);
    const bool isOwnZone = group.zone_ == settings_.availabilityZone_;
    reasons.emplace_back("group " + FormatGroup(group) + ": " +
                         std::to_string(content.servers_.size()) +
                         " backend servers, home entry " +
                         (home ? home->GetValue() : std::string("unknown")) +
                         (isOwnZone ? ", own zone, used first"
                                    : ", used when the own zone is full"));
  }
  answer["reasons"] = std::move(reasons);
  return json::serialize(answer);
}

std::string
ControlLoop::ControlLinks(std::string_view aAction, const std::string& aPeer)
{
  LinkFilter& filter = peers_.GetLinkFilter();
  if (aAction == "cut") {
    filter.Block(EntryId(aPeer));
  } else if (aAction == "heal" && !aPeer.empty()) {
    filter.Unblock(EntryId(aPeer));
  } else if (aAction == "heal") {
    filter.UnblockAll();
  } else {
    return R"({"error":"action must be cut or heal"})";
  }
  return "{}";
}

} // namespace azurecross

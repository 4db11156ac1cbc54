#include "HomeGroup.h"

#include <algorithm>

namespace azurecross {

HomeGroup::HomeGroup(const ArbiterOptions& aOptions,
                     std::set<EntryId> aPeers,
                     Time aNow)
  : arbiter_(aOptions)
  , awaited_(std::move(aPeers))
  , rebuildEnd_(aNow + kRebuildWait)
  , isRebuilding_(!awaited_.empty())
{
}

void
HomeGroup::SetServers(const GroupMap::Group& aGroup,
                      Time aNow,
                      ArbiterActions& aActions)
{
  arbiter_.SetBackendServers(aGroup.servers_, aNow, aActions);
}

void
HomeGroup::Enqueue(const GrantRequest& aRequest,
                   Time aNow,
                   ArbiterActions& aActions)
{
  if (!isRebuilding_) {
    arbiter_.Enqueue(aRequest, aNow, aActions);
    return;
  }
  const auto isSame = [&](const GrantRequest& aOther) {
    return aOther.request_ == aRequest.request_;
  };
  if (std::none_of(delayed_.begin(), delayed_.end(), isSame)) {
    delayed_.push_back(aRequest);
  }
}

void
HomeGroup::Cancel(const RequestId& aRequest,
                  Time aNow,
                  ArbiterActions& aActions)
{
  std::erase_if(delayed_, [&](const GrantRequest& aOther) {
    return aOther.request_ == aRequest;
  });
  arbiter_.Cancel(aRequest, aNow, aActions);
}

void
HomeGroup::Release(GrantId aGrant,
                   GrantOutcome aOutcome,
                   Time aNow,
                   ArbiterActions& aActions)
{
  holders_.erase(aGrant);
  arbiter_.Release(aGrant, aOutcome, aNow, aActions);
}

void
HomeGroup::TakeInFlight(const EntryId& aEntry,
                        const std::vector<InFlightGrant>& aGrants,
                        Time aNow,
                        ArbiterActions& aActions)
{
  std::set<GrantId> listed;
  std::vector<InFlightGrant> unknown;
  for (const InFlightGrant& grant : aGrants) {
    listed.insert(grant.grant_);
    if (!holders_.contains(grant.grant_)) {
      unknown.push_back(grant);
      holders_[grant.grant_] = { aEntry, aNow };
    }
  }
  if (!unknown.empty()) {
    arbiter_.ReportInFlight(unknown, aNow);
  }
  std::vector<GrantId> lost;
  for (const auto& [grant, holder] : holders_) {
    const bool isOld = aNow - holder.since_ >= kReportGrace;
    if (holder.entry_ == aEntry && isOld && !listed.contains(grant)) {
      lost.push_back(grant);
    }
  }
  std::sort(lost.begin(), lost.end());
  for (const GrantId& grant : lost) {
    Release(grant, GrantOutcome::Cancelled, aNow, aActions);
  }
  awaited_.erase(aEntry);
  if (isRebuilding_ && awaited_.empty()) {
    FinishRebuild(aNow, aActions);
  }
}

void
HomeGroup::RemoveEntry(const EntryId& aEntry,
                       Time aNow,
                       ArbiterActions& aActions)
{
  std::erase_if(
    holders_, [&](const auto& aItem) { return aItem.second.entry_ == aEntry; });
  arbiter_.ReleaseEntry(aEntry, aNow, aActions);
  awaited_.erase(aEntry);
}

void
HomeGroup::Tick(Time aNow, ArbiterActions& aActions)
{
  const bool isComplete = awaited_.empty() || aNow >= rebuildEnd_;
  if (isRebuilding_ && isComplete) {
    FinishRebuild(aNow, aActions);
  }
  arbiter_.Tick(aNow, aActions);
}

void
HomeGroup::NoteGrants(const ArbiterActions& aActions, Time aNow)
{
  for (const ArbiterAction& action : aActions) {
    if (const auto* grant = std::get_if<GrantAction>(&action)) {
      holders_[grant->grant_] = { grant->entry_, aNow };
    }
  }
}

void
HomeGroup::FinishRebuild(Time aNow, ArbiterActions& aActions)
{
  isRebuilding_ = false;
  for (const GrantRequest& request : delayed_) {
    arbiter_.Enqueue(request, aNow, aActions);
  }
  delayed_.clear();
}

} // namespace azurecross

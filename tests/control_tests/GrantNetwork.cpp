#include "GrantNetwork.h"

#include <algorithm>

namespace azurecross {

namespace {

std::shared_ptr<const GroupMap>
MakeGroups(const GroupId& aGroup, int aServers, std::uint32_t aSlots)
{
  auto map = std::make_shared<GroupMap>();
  GroupMap::Group group;
  group.kind_ = PoolKind::Service;
  for (int server = 0; server < aServers; ++server) {
    BackendServerDescription description;
    description.id_ = BackendServerId("server-" + std::to_string(server));
    description.maxConcurrent_ = aSlots;
    group.servers_.push_back(description);
  }
  map->groups_[aGroup] = group;
  map->shards_[{ aGroup.pool_, aGroup.zone_ }] = 1;
  return map;
}

} // namespace

GrantNetwork::GrantNetwork(int aEntries, int aServers, std::uint32_t aSlots)
{
  groups_ = MakeGroups(MakeGroup(), aServers, aSlots);
  for (int entry = 0; entry < aEntries; ++entry) {
    entries_[entry] =
      std::make_unique<GrantCoordinator>(MakeEntry(entry),
                                         zone_,
                                         ArbiterOptions{},
                                         static_cast<std::uint64_t>(entry) + 1);
    GrantActions actions;
    entries_[entry]->SetGroups(groups_, now_, actions);
    Process(entry, std::move(actions));
  }
}

EntryId
GrantNetwork::MakeEntry(int aIndex)
{
  return EntryId("entry-" + std::to_string(aIndex));
}

GroupId
GrantNetwork::MakeGroup() const
{
  return { MakePool(), zone_, 0 };
}

void
GrantNetwork::SetHome(int aHome)
{
  HomeView view;
  view.homes_[MakeGroup()] = MakeEntry(aHome);
  for (const auto& [index, entry] : entries_) {
    view.zoneMembers_.insert(MakeEntry(index));
  }
  for (const auto& [index, entry] : entries_) {
    GrantActions actions;
    entry->SetHomes(view, now_, actions);
    Process(index, std::move(actions));
  }
  DeliverMessages();
}

void
GrantNetwork::Kill(int aEntry)
{
  entries_.erase(aEntry);
  std::erase_if(
    grants_, [&](const auto& aItem) { return aItem.second.entry_ == aEntry; });
  for (const auto& [index, entry] : entries_) {
    GrantActions actions;
    entry->RemoveEntry(MakeEntry(aEntry), now_, actions);
    Process(index, std::move(actions));
  }
}

RequestId
GrantNetwork::Request(int aEntry, Rank aRank)
{
  GrantRequest request;
  request.request_ = RequestId("request-" + std::to_string(nextRequest_++));
  request.customer_ = CustomerId("customer");
  request.rank_ = aRank;
  RequestId id = request.request_;
  GrantActions actions;
  entries_.at(aEntry)->Request(MakePool(), std::move(request), now_, actions);
  Process(aEntry, std::move(actions));
  DeliverMessages();
  return id;
}

void
GrantNetwork::Cancel(int aEntry, const RequestId& aRequest)
{
  GrantActions actions;
  entries_.at(aEntry)->Cancel(aRequest, now_, actions);
  grants_.erase(aRequest);
  Process(aEntry, std::move(actions));
  DeliverMessages();
}

void
GrantNetwork::Release(const RequestId& aRequest)
{
  const Grant grant = grants_.at(aRequest);
  grants_.erase(aRequest);
  GrantActions actions;
  entries_.at(grant.entry_)
    ->Release(grant.grant_, GrantOutcome::Completed, 1, now_, actions);
  Process(grant.entry_, std::move(actions));
  DeliverMessages();
}

void
GrantNetwork::Advance(Duration aDuration)
{
  constexpr Duration kStep = std::chrono::milliseconds(50);
  for (Duration passed{}; passed < aDuration; passed += kStep) {
    now_ += kStep;
    for (const auto& [index, entry] : entries_) {
      GrantActions actions;
      entry->Tick(now_, actions);
      Process(index, std::move(actions));
    }
    DeliverMessages();
  }
}

std::size_t
GrantNetwork::GetHighestLoad() const
{
  std::map<BackendServerId, std::size_t> loads;
  std::size_t highest = 0;
  for (const auto& [request, grant] : grants_) {
    highest = std::max(highest, ++loads[grant.server_]);
  }
  return highest;
}

void
GrantNetwork::Process(int aEntry, GrantActions aActions)
{
  for (const SlotGranted& granted : aActions.granted_) {
    const bool isAnswered =
      grants_.contains(granted.request_) || refused_.contains(granted.request_);
    duplicates_ += isAnswered ? 1 : 0;
    grants_[granted.request_] = { aEntry,
                                  granted.grant_,
                                  granted.backendServer_ };
  }
  for (const SlotRefused& refused : aActions.refused_) {
    duplicates_ += grants_.contains(refused.request_) ? 1 : 0;
    refused_.insert(refused.request_);
  }
  for (PeerAction& message : aActions.messages_) {
    message.message_.set_sender(MakeEntry(aEntry).GetValue());
    messages_.push_back(std::move(message));
  }
}

void
GrantNetwork::DeliverMessages()
{
  while (!messages_.empty()) {
    std::vector<PeerAction> batch;
    batch.swap(messages_);
    for (const PeerAction& message : batch) {
      const EntryId sender(message.message_.sender());
      const bool isCut =
        cut_.contains(sender) || cut_.contains(message.receiver_);
      if (isCut || random_.DrawUnit() < loss_) {
        continue;
      }
      for (const auto& [index, entry] : entries_) {
        if (MakeEntry(index) == message.receiver_) {
          GrantActions actions;
          entry->Receive(message.message_, now_, actions);
          Process(index, std::move(actions));
        }
      }
    }
  }
}

} // namespace azurecross

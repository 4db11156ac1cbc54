#pragma once

#include "../groups/GroupDirectory.h"
#include "GrantActions.h"
#include "GrantMessages.h"
#include "GroupSelector.h"
#include "HomeGroup.h"

#include <azurecross_cluster/azurecross_cluster.h>
#include <azurecross_core/azurecross_core.h>
#include <azurecross_policy/azurecross_policy.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurecross {

/** Which entry is home of each group, as this entry sees it. */
struct HomeView
{
  std::map<GroupId, EntryId> homes_;
  /** Live entries of the own zone, this one included. */
  std::set<EntryId> zoneMembers_;
};

/**
 * Gets slots for the requests of one entry, and gives slots for the groups
 * whose home it is.
 *
 * A request goes to the home entry of its group, which acknowledges it at once
 * and grants or refuses it later. The request is repeated every `kRepeatAfter`,
 * so that neither a lost message nor a home that has lost its state leaves it
 * waiting. Without an acknowledgement within `kHomeTimeout` the entry uses its
 * fixed share of the group's capacity.
 *
 * A plain state machine without I/O; call `Tick` every 50 ms.
 */
class GrantCoordinator
{
public:
  static constexpr Duration kHomeTimeout = std::chrono::milliseconds(200);
  static constexpr Duration kRepeatAfter = std::chrono::seconds(2);
  /** How long a home that did not answer is not asked again. */
  static constexpr Duration kHomeRetry = std::chrono::seconds(1);
  static constexpr Duration kProgressInterval = std::chrono::milliseconds(250);
  static constexpr Duration kReportInterval = std::chrono::seconds(5);
  /** A request without an answer this long after its deadline is refused. */
  static constexpr Duration kDeadlineGrace = std::chrono::milliseconds(500);

  GrantCoordinator(EntryId aSelf,
                   AvailabilityZone aZone,
                   const ArbiterOptions& aOptions,
                   std::uint64_t aSeed);

  void SetGroups(std::shared_ptr<const GroupMap> aGroups,
                 Time aNow,
                 GrantActions& aActions);
  void SetHomes(HomeView aView, Time aNow, GrantActions& aActions);
  /** Frees what an entry that has died held. */
  void RemoveEntry(const EntryId& aEntry, Time aNow, GrantActions& aActions);

  /** Asks for a slot; ends with a granted or a refused action. */
  void Request(const PoolName& aPool,
               GrantRequest aRequest,
               Time aNow,
               GrantActions& aActions);
  /** Withdraws a request, or gives back the slot that it got. */
  void Cancel(const RequestId& aRequest, Time aNow, GrantActions& aActions);
  /** Takes the number of tokens so far. */
  void ReportProgress(GrantId aGrant, std::uint32_t aTokens);
  void Release(GrantId aGrant,
               GrantOutcome aOutcome,
               std::uint32_t aTokens,
               Time aNow,
               GrantActions& aActions);

  /** Takes a message about grants; @returns false for other messages. */
  bool Receive(const wire::PeerMessage& aMessage,
               Time aNow,
               GrantActions& aActions);
  void ReportLoad(const GroupId& aGroup,
                  const BackendServerLoad& aLoad,
                  Time aNow,
                  GrantActions& aActions);
  void Tick(Time aNow, GrantActions& aActions);

  /** @returns the groups whose home is this entry. */
  std::vector<GroupId> ListHomeGroups() const;
  /** @returns the summary of a group whose home is this entry. */
  std::optional<GroupSummary> FindSummary(const GroupId& aGroup) const;
  /** @returns the busiest minute of a group whose home is this entry. */
  std::optional<double> FindPeak(const GroupId& aGroup) const;
  /** Takes the busiest minute of a group from the store. */
  void LoadPeak(const GroupId& aGroup, double aPeak);
  /** Forgets the busiest minute of a group: a new month is billed. */
  void StartMonth(const GroupId& aGroup);
  /** Takes the saturation of a group with another home, for spill-over. */
  void SetSaturation(const GroupId& aGroup, double aSaturation);
  std::vector<std::string> Explain(const RequestId& aRequest) const;
  std::size_t CountPending() const { return pending_.size(); }
  std::size_t CountHeld() const { return held_.size(); }

private:
  struct PendingRequest
  {
    GroupId group_;
    GrantRequest request_;
    Time sent_;
    bool isAcknowledged_ = false;
    bool usesFixedShare_ = false;
  };

  bool IsHome(const GroupId& aGroup) const { return homes_.contains(aGroup); }
  std::optional<EntryId> FindHome(const GroupId& aGroup) const;
  bool IsHomeSilent(const EntryId& aHome, Time aNow) const;
  void Submit(PendingRequest& aPending, Time aNow, GrantActions& aActions);
  void UseFixedShare(PendingRequest& aPending,
                     Time aNow,
                     GrantActions& aActions);
  Arbiter& GetFixedShareArbiter(const GroupId& aGroup, Time aNow);
  ArbiterOptions MakeOptions(const GroupId& aGroup, std::string_view aUse);
  std::vector<InFlightGrant> ListInFlight(const GroupId& aGroup) const;
  void BecomeHome(const GroupId& aGroup, Time aNow, GrantActions& aActions);
  void MoveHome(const GroupId& aGroup, Time aNow, GrantActions& aActions);
  void SendInFlight(const GroupId& aGroup, GrantActions& aActions);
  void Deliver(const GroupId& aGroup,
               const ArbiterActions& aDecisions,
               Time aNow,
               GrantActions& aActions);
  void DeliverHome(const GroupId& aGroup,
                   HomeGroup& aHome,
                   const ArbiterActions& aDecisions,
                   Time aNow,
                   GrantActions& aActions);
  void TakeGrant(const GroupId& aGroup,
                 const GrantAction& aGrant,
                 Time aNow,
                 GrantActions& aActions);
  void TakeRefusal(const RefuseAction& aRefusal, GrantActions& aActions);
  void ReleaseEverywhere(const GroupId& aGroup,
                         GrantId aGrant,
                         GrantOutcome aOutcome,
                         std::uint32_t aTokens,
                         Time aNow,
                         GrantActions& aActions);
  void HandleRequest(const EntryId& aSender,
                     const wire::GrantRequest& aMessage,
                     Time aNow,
                     GrantActions& aActions);
  void HandleReply(const EntryId& aSender,
                   const wire::GrantReply& aMessage,
                   Time aNow,
                   GrantActions& aActions);
  void HandleProgress(const wire::GrantProgress& aMessage,
                      Time aNow,
                      GrantActions& aActions);
  void HandleRelease(const wire::GrantRelease& aMessage,
                     Time aNow,
                     GrantActions& aActions);
  void HandleCancel(const wire::GrantCancel& aMessage,
                    Time aNow,
                    GrantActions& aActions);
  void HandleInFlight(const EntryId& aSender,
                      const wire::InFlightReport& aMessage,
                      Time aNow,
                      GrantActions& aActions);
  void CheckPending(Time aNow, GrantActions& aActions);
  void SendProgress(Time aNow, GrantActions& aActions);
  void SendReports(Time aNow, GrantActions& aActions);

  EntryId self_;
  AvailabilityZone zone_;
  ArbiterOptions options_;
  std::uint64_t seed_;
  std::uint64_t arbiterCount_ = 0;
  GroupSelector selector_;
  std::shared_ptr<const GroupMap> groups_;
  HomeView view_;
  std::map<GroupId, HomeGroup> homes_;
  std::map<GroupId, Arbiter> fixedShares_;
  std::map<RequestId, PendingRequest> pending_;
  std::unordered_map<GrantId, HeldGrant> held_;
  /** Home entries that did not answer, and when to ask them again. */
  std::map<EntryId, Time> silentHomes_;
  Time lastProgress_;
  Time lastReport_;
};

} // namespace azurecross

#pragma once

#include "GrantActions.h"
#include "GrantMessages.h"

#include "../groups/GroupDirectory.h"

#include <azurecross_policy/azurecross_policy.h>

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurecross {

/**
 * An arbitration group whose home is this entry: its arbiter, the grants that
 * entries hold, and the wait for in-flight lists after a home change.
 */
class HomeGroup
{
public:
  /** Longest wait for the in-flight lists of other entries. */
  static constexpr Duration kRebuildWait = std::chrono::milliseconds(300);
  /**
   * A grant younger than this may still be on its way to the entry, so its
   * absence from the entry's in-flight list says nothing.
   */
  static constexpr Duration kReportGrace = std::chrono::seconds(2);

  /**
   * @param aPeers the entries whose in-flight lists are awaited.
   */
  HomeGroup(const ArbiterOptions& aOptions,
            std::set<EntryId> aPeers,
            Time aNow);

  void SetServers(const GroupMap::Group& aGroup,
                  Time aNow,
                  ArbiterActions& aActions);

  /** Queues a request, or keeps it until the group has been rebuilt. */
  void Enqueue(const GrantRequest& aRequest,
               Time aNow,
               ArbiterActions& aActions);
  void Cancel(const RequestId& aRequest, Time aNow, ArbiterActions& aActions);
  void Release(GrantId aGrant,
               GrantOutcome aOutcome,
               Time aNow,
               ArbiterActions& aActions);

  /**
   * Takes the whole in-flight list of an entry. Grants that the entry no longer
   * holds are released: their release was lost.
   */
  void TakeInFlight(const EntryId& aEntry,
                    const std::vector<InFlightGrant>& aGrants,
                    Time aNow,
                    ArbiterActions& aActions);

  /** Drops what an entry that has died asked for and held. */
  void RemoveEntry(const EntryId& aEntry, Time aNow, ArbiterActions& aActions);

  void Tick(Time aNow, ArbiterActions& aActions);

  /** Remembers the holders of newly made grants. */
  void NoteGrants(const ArbiterActions& aActions, Time aNow);

  /** @returns whether this group made or was told of the grant. */
  bool Holds(GrantId aGrant) const { return holders_.contains(aGrant); }

  Arbiter& GetArbiter() { return arbiter_; }
  const Arbiter& GetArbiter() const { return arbiter_; }

private:
  struct Holder
  {
    EntryId entry_;
    Time since_;
  };

  void FinishRebuild(Time aNow, ArbiterActions& aActions);

  Arbiter arbiter_;
  std::set<EntryId> awaited_;
  Time rebuildEnd_;
  bool isRebuilding_ = true;
  std::vector<GrantRequest> delayed_;
  std::unordered_map<GrantId, Holder> holders_;
};

} // namespace azurecross

#pragma once

#include <azurecross_control/azurecross_control.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace azurecross {

/**
 * Several grant coordinators of one zone on a virtual clock, with an in-memory
 * network that can lose messages and cut links.
 */
class GrantNetwork
{
public:
  /** @param aServers backend servers of the one pool, with `aSlots` each. */
  GrantNetwork(int aEntries, int aServers, std::uint32_t aSlots);

  static EntryId MakeEntry(int aIndex);
  static PoolName MakePool() { return PoolName("pool"); }
  GroupId MakeGroup() const;

  /** Makes an entry home of the only group, in the views of all live ones. */
  void SetHome(int aHome);
  /** Stops an entry for good; the others' views change with `SetHome`. */
  void Kill(int aEntry);
  void CutLinks(int aEntry) { cut_.insert(MakeEntry(aEntry)); }
  void HealLinks(int aEntry) { cut_.erase(MakeEntry(aEntry)); }
  void SetLoss(double aLoss) { loss_ = aLoss; }

  /** Asks for a slot at an entry. @returns the request's id. */
  RequestId Request(int aEntry, Rank aRank = Rank::Urgent);
  void Cancel(int aEntry, const RequestId& aRequest);
  /** Releases a granted request. */
  void Release(const RequestId& aRequest);
  /** Lets time pass in steps of 50 ms. */
  void Advance(Duration aDuration);

  GrantCoordinator& GetEntry(int aIndex) { return *entries_.at(aIndex); }
  std::size_t CountGranted() const { return grants_.size(); }
  std::size_t CountRefused() const { return refused_.size(); }
  bool IsGranted(const RequestId& aRequest) const
  {
    return grants_.contains(aRequest);
  }
  /** @returns slots in use on the busiest backend server. */
  std::size_t GetHighestLoad() const;
  /** @returns requests that were answered more than once. */
  std::size_t CountDuplicates() const { return duplicates_; }

private:
  struct Grant
  {
    int entry_ = 0;
    GrantId grant_;
    BackendServerId server_;
  };

  void Process(int aEntry, GrantActions aActions);
  void DeliverMessages();

  AvailabilityZone zone_{ "zone" };
  Time now_{ std::chrono::seconds(100) };
  Random random_{ 5 };
  double loss_ = 0.0;
  std::shared_ptr<const GroupMap> groups_;
  std::map<int, std::unique_ptr<GrantCoordinator>> entries_;
  std::set<EntryId> cut_;
  std::vector<PeerAction> messages_;
  std::map<RequestId, Grant> grants_;
  std::set<RequestId> refused_;
  std::size_t duplicates_ = 0;
  int nextRequest_ = 0;
};

} // namespace azurecross

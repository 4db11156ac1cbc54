#pragma once

#include "MemberTable.h"
#include "Prober.h"
#include "UpdateQueue.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace azurecross {

/** What an entry says about itself, and whom it asks first. */
struct MembershipSettings
{
  EntryId self_;
  /** Milliseconds since the Unix epoch at the start of the process. */
  Incarnation incarnation_;
  AvailabilityZone zone_;
  /** Address that peers reach this entry at. */
  SocketAddress address_;
  /** Entry size relative to the usual size of 1. */
  double size_ = 1.0;
  /** Peers of any zone to ask first; may include this entry. */
  std::vector<SocketAddress> seeds_;
};

/** An entry VM in the platform's VM list. */
struct ListedEntry
{
  EntryId entry_;
  AvailabilityZone zone_;
  SocketAddress address_;
};

/**
 * The members of the entry's own zone, by probes as in SWIM, and what the
 * delegates of other zones say about theirs.
 *
 * Each member probes two others of its zone in turn every 250 ms, so its load
 * does not grow with the zone. A member that answers neither directly nor by
 * way of three helpers is suspected; it is dead one second later unless it
 * refutes with a higher incarnation. Two delegates for each zone exchange pages
 * of member records with the delegates of other zones.
 *
 * Call `Tick` every 50 ms, and each function on the owning thread only. After
 * a change of `GetIncarnation` the transport must use the new incarnation
 * before it sends the messages of that call.
 */
class Membership
{
public:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);
  static constexpr Duration kSuspicionTimeout = std::chrono::seconds(1);
  /** A tick this late means that this process itself was paused. */
  static constexpr Duration kPause = std::chrono::milliseconds(600);
  static constexpr Duration kContactInterval = std::chrono::seconds(1);
  static constexpr Duration kSyncInterval = std::chrono::seconds(2);
  /** A page and its reply are about 2 KB; at one page a second a
   * delegate of 17 zones sends more than half of its 25 KB/s. */
  static constexpr Duration kDelegateInterval = std::chrono::milliseconds(1250);
  /** Dead members are probed this long, so that a healed zone merges. */
  static constexpr Duration kForgetAfter = std::chrono::minutes(30);
  /**
   * A newcomer does not repeat the records of the pages it gets, since its
   * peers know them: at 800 members that would fill its heartbeats for minutes.
   */
  static constexpr Duration kNewcomerTime = std::chrono::minutes(1);
  /** A page of records stays under about 1 KB. */
  static constexpr std::size_t kPageRecords = 16;
  /** Members that get an urgent change at once. */
  static constexpr std::size_t kUrgentFanout = 3;
  /** Bounds the extra load when many members change at the same time. */
  static constexpr double kUrgentPerSecond = 20.0;

  Membership(MembershipSettings aSettings, Time aNow, std::uint64_t aSeed);

  /** Replaces the live entries of the VM list, which lags behind. */
  void SetListedEntries(std::vector<ListedEntry> aEntries);

  /** Sets the revision that heartbeats carry. */
  void SetTableRevision(std::uint64_t aRevision) { revision_ = aRevision; }

  /** Handles a message whose body is a `Heartbeat`; others are ignored. */
  void HandleMessage(const wire::PeerMessage& aMessage,
                     Time aNow,
                     ClusterActions& aActions);

  /** Runs the timers. */
  void Tick(Time aNow, ClusterActions& aActions);

  /** Announces the planned stop of this entry to the zone at once. */
  void AnnounceLeaving(Time aNow, ClusterActions& aActions);

  /** @returns this entry's incarnation, which grows with each refutation. */
  Incarnation GetIncarnation() const { return GetSelf().incarnation_; }

  const Member& GetSelf() const;

  /** @returns what is known about an entry, if anything. */
  const Member* Find(const EntryId& aEntry) const;

  /** @returns the eligible members of the own zone, with this entry. */
  std::vector<Member> ListEligible() const;

  /** @returns the members of the own zone that take messages, without self. */
  const std::vector<Member>& ListPeers() const;

  /** @returns the selector over the eligible members of a zone. */
  const HomeSelector& GetSelector(const AvailabilityZone& aZone) const;

  /** @returns the zones known, with the own one, sorted. */
  std::vector<AvailabilityZone> ListZones() const { return table_.ListZones(); }

  /** @returns whether this entry is a delegate of its zone. */
  bool IsDelegate() const;

  /** @returns whether this entry watches the store for its zone. */
  bool IsWatcher() const;

  /** @returns the highest table revision that a peer has announced. */
  std::uint64_t GetHighestRevision() const { return highestRevision_; }

  /** @returns the peer that announced it last, to ask for the tables. */
  const EntryId& GetRevisionHolder() const { return revisionHolder_; }

private:
  enum class Urgency
  {
    /** The record does not ride on heartbeats. */
    Silent,
    Normal,
    Urgent,
  };

  void MergeUpdate(const Member& aMember,
                   Urgency aLeast,
                   Time aNow,
                   ClusterActions& aActions);
  void ApplyChange(const Member& aMember,
                   Time aNow,
                   Urgency aUrgency,
                   ClusterActions& aActions);
  void Refute(Incarnation aClaimed, Time aNow, ClusterActions& aActions);
  void PushUrgently(const Member& aMember, Time aNow, ClusterActions& aActions);
  void HandleKind(const wire::Heartbeat& aHeartbeat,
                  const Member& aSender,
                  Time aNow,
                  ClusterActions& aActions);
  void AskTarget(const wire::Heartbeat& aHeartbeat,
                 const Member& aSender,
                 Time aNow,
                 ClusterActions& aActions);
  void FinishProbe(const wire::Heartbeat& aHeartbeat,
                   const Member& aSender,
                   ClusterActions& aActions);
  void WelcomeMember(const Member& aMember, ClusterActions& aActions);

  void DetectOwnPause(Time aNow, ClusterActions& aActions);
  void ProbeMembers(Time aNow, ClusterActions& aActions);
  void AdvanceProbes(Time aNow, ClusterActions& aActions);
  void AskHelpers(const Prober::Due& aDue, ClusterActions& aActions);
  void SuspectMember(const EntryId& aEntry,
                     Time aNow,
                     ClusterActions& aActions);
  void ExpireSuspicions(Time aNow, ClusterActions& aActions);
  void ProbeContact(Time aNow, ClusterActions& aActions);
  void SyncWithMember(Time aNow, ClusterActions& aActions);
  void SyncWithZones(Time aNow, ClusterActions& aActions);
  void ForgetMembers(Time aNow, ClusterActions& aActions);

  wire::Heartbeat MakeHeartbeat(wire::Heartbeat::Kind aKind,
                                std::uint64_t aProbe = 0);
  void AttachPage(wire::Heartbeat& aHeartbeat);
  void Send(const EntryId& aReceiver,
            const SocketAddress& aAddress,
            wire::Heartbeat aHeartbeat,
            ClusterActions& aActions);
  std::vector<OutgoingMessage> ListContacts() const;
  std::optional<Member> DrawPeer();
  std::size_t CountZone() const;

  const MembershipSettings settings_;
  Random random_;
  Prober prober_;
  MemberTable table_;
  UpdateQueue updates_;
  /** Members of the own zone whose suspicion runs. */
  std::set<EntryId> suspects_;
  std::vector<ListedEntry> listed_;
  std::uint64_t revision_ = 0;
  std::uint64_t highestRevision_ = 0;
  EntryId revisionHolder_;
  EntryId pageCursor_;
  const Time start_;
  Time lastTick_;
  Time nextProbe_;
  Time nextContact_;
  Time nextSync_;
  Time nextDelegate_;
  Time nextForget_;
  double urgentAllowance_ = kUrgentPerSecond;
  Time allowanceSince_;
  /** The own zone's reachable peers, rebuilt after a change. */
  mutable std::optional<std::vector<Member>> peers_;
};

} // namespace azurecross

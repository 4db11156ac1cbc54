#pragma once

#include "../membership/Member.h"
#include "RecordStore.h"

#include <array>
#include <functional>
#include <optional>
#include <vector>

namespace azurecross {

/** A published record with its origin, as readers see it. */
struct GossipItem
{
  EntryId origin_;
  AvailabilityZone zone_;
  const wire::GossipRecord* record_ = nullptr;
  Duration age_{};
};

/**
 * Spreads small records of entries: leaving notices of backend servers, group
 * summaries and the highest table revision.
 *
 * Each second an entry compares versions with one random peer of its zone, and
 * a delegate also with one delegate of another zone; both then send what the
 * other lacks. A leaving notice is also forwarded by each entry that learns it,
 * at once and `kForwardRounds - 1` times after that. Each record has a
 * lifetime, and its origin publishes it again before that ends.
 *
 * A record reaches the entries of its scope only. The messages to other zones
 * carry no record that came from there.
 */
class Gossip
{
public:
  static constexpr Duration kExchangeInterval = std::chrono::seconds(1);
  static constexpr Duration kZoneInterval = std::chrono::seconds(2);
  static constexpr Duration kExpiryInterval = std::chrono::seconds(1);
  /**
   * Entries that leaving notices are forwarded to in each round. With one round
   * an entry is missed with probability e^-3.6 = 3% at 10% loss and waits for
   * an exchange, which took up to 3 s; with three rounds it is e^-10.8.
   */
  static constexpr std::size_t kForwardFanout = 4;
  static constexpr int kForwardRounds = 3;
  static constexpr Duration kForwardInterval = std::chrono::milliseconds(300);
  /** Forwarded messages in a second; the exchanges carry what is above. */
  static constexpr double kForwardsPerSecond = 100.0;
  /** A digest of this many streams takes 2 KB. */
  static constexpr std::size_t kDigestStreams = 128;
  static constexpr std::size_t kDeltaBytes = 8UL * 1024;
  /** Deltas sent for one digest. */
  static constexpr std::size_t kDeltasPerDigest = 4;

  /** Says whether an origin is dead, so that its records are refused. */
  using DeathCheck = std::function<bool(const EntryId&)>;

  /** Takes the incarnation at the start of this process, not a later one. */
  Gossip(EntryId aSelf,
         Incarnation aStart,
         AvailabilityZone aZone,
         Time aNow,
         std::uint64_t aSeed,
         DeathCheck aIsDead = {});

  /**
   * Sets the members to exchange with: those of the own zone without this
   * entry, and the delegates of other zones if this entry is a delegate.
   */
  void SetPeers(std::vector<Member> aZonePeers,
                std::vector<Member> aOtherDelegates);

  /** Drops the records of a dead entry. */
  void DropOrigin(const EntryId& aOrigin);

  /**
   * Publishes the records of this entry again, after its peers have declared
   * it dead and dropped them.
   */
  void PublishAgain(Time aNow);

  /** Publishes or replaces the record with this key of this entry. */
  void Publish(const std::string& aKey,
               wire::GossipRecord aValue,
               GossipScope aScope,
               Duration aLifetime,
               Time aNow,
               ClusterActions& aActions);

  /** Withdraws a record; other entries drop it as they learn of it. */
  void Withdraw(const std::string& aKey,
                GossipScope aScope,
                Time aNow,
                ClusterActions& aActions);

  /** Publishes that a backend server is leaving, to the zone at once. */
  void PublishLeaving(const BackendServerId& aBackendServer,
                      Duration aLifetime,
                      Time aNow,
                      ClusterActions& aActions);

  /** Takes back this entry's notice that a backend server is leaving. */
  void WithdrawLeaving(const BackendServerId& aBackendServer,
                       Time aNow,
                       ClusterActions& aActions);

  /** @returns whether any entry says that the backend server is leaving. */
  bool IsLeaving(const BackendServerId& aBackendServer) const;

  /** @returns the backend servers that are leaving, sorted. */
  std::vector<BackendServerId> ListLeaving() const;

  /** Calls the visitor with each record of this kind. */
  void Visit(wire::GossipRecord::ValueCase aKind,
             Time aNow,
             const std::function<void(const GossipItem&)>& aVisitor) const;

  /** Raises the table revision that this entry announces. */
  void RaiseTableRevision(std::uint64_t aRevision);
  std::uint64_t GetTableRevision() const { return revision_; }

  /** Handles digests and deltas; other messages are ignored. */
  void HandleMessage(const wire::PeerMessage& aMessage,
                     Time aNow,
                     ClusterActions& aActions);

  /** Runs the timers; call it as often as `Membership::Tick`. */
  void Tick(Time aNow, ClusterActions& aActions);

  std::size_t CountRecords() const { return store_.CountRecords(); }

private:
  const Member* FindPeer(const std::string& aEntry) const;
  /** @returns whether a stream may be sent to an entry of this zone. */
  bool IsForZone(const RecordStore::Stream& aStream,
                 const AvailabilityZone& aZone) const;
  bool IsOwn(const RecordStore::Stream& aStream) const;
  void HandleDigest(const wire::GossipDigest& aDigest,
                    const Member& aSender,
                    Time aNow,
                    ClusterActions& aActions);
  void HandleDelta(const wire::GossipDelta& aDelta,
                   Time aNow,
                   ClusterActions& aActions);
  void RequestMissing(const wire::GossipDigest& aDigest,
                      const Member& aSender,
                      ClusterActions& aActions);
  void SendDigest(const Member& aReceiver, ClusterActions& aActions);
  wire::StreamDelta PublishRecord(const std::string& aKey,
                                  wire::GossipRecord aValue,
                                  GossipScope aScope,
                                  Time aNow);
  void MergeStream(const wire::StreamDelta& aDelta, Time aNow);
  /** Sends the notices whose round is due to a few peers. */
  void ForwardNotices(Time aNow, ClusterActions& aActions);

  /** A leaving notice that is being forwarded. */
  struct Notice
  {
    wire::StreamDelta delta_;
    int rounds_ = kForwardRounds;
    Time due_;
  };

  const EntryId self_;
  const Incarnation start_;
  const AvailabilityZone zone_;
  Random random_;
  RecordStore store_;
  /** The last version of this entry's stream for each scope. */
  std::array<std::uint64_t, 2> lastVersions_{};
  const DeathCheck isDead_;
  std::vector<Notice> notices_;
  std::vector<Member> zonePeers_;
  std::vector<Member> otherDelegates_;
  std::uint64_t revision_ = 0;
  /** First hash of the next digest when one does not hold all streams. */
  std::uint64_t digestCursor_ = 0;
  Time nextExchange_;
  Time nextZoneExchange_;
  Time nextExpiry_;
  double forwardAllowance_ = kForwardsPerSecond;
  Time allowanceSince_;
};

} // namespace azurecross

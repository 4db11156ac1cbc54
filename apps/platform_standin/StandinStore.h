#pragma once

#include <azurecross_store/store/StoreTypes.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace azurecross {

/**
 * An in-memory key-value store with etcd's revisions, transactions, leases and
 * event history. Does no I/O; the caller passes the time.
 */
class StandinStore
{
public:
  /** The keys and counters at one moment, as a backup has them. */
  struct Backup
  {
    std::map<std::string, KeyValue> keyValues_;
    std::int64_t revision_ = 1;
    std::int64_t lastLease_ = 0;
  };

  Result<RangeAnswer> Range(const RangeRequest& aRequest) const;
  Result<TransactionAnswer> Commit(const Transaction& aTransaction);
  LeaseAnswer GrantLease(std::chrono::seconds aTimeToLive, Time aNow);
  /** @returns the lease; time to live 0 if there is no such lease. */
  LeaseAnswer KeepLease(LeaseId aLease, Time aNow);
  /** Deletes the lease and its keys; fails if there is no such lease. */
  Result<LeaseAnswer> RevokeLease(LeaseId aLease);
  /** Deletes the expired leases and their keys. */
  void ExpireLeases(Time aNow);

  /** @returns the events from a revision on, oldest first. */
  std::vector<KeyEvent> CollectEvents(const WatchRequest& aRequest) const;
  /** Forgets the events before a revision. */
  void Compact(std::int64_t aRevision);

  std::int64_t GetRevision() const { return revision_; }
  /** @returns the first revision whose events are kept. */
  std::int64_t GetCompactRevision() const { return compactRevision_; }

  Backup MakeBackup() const;
  /** Goes back to a backup; all leases and the event history are lost, and
   * revisions and ids of leases are given out again. */
  void Restore(const Backup& aBackup);

private:
  struct LeaseRecord
  {
    std::chrono::seconds timeToLive_{ 0 };
    Time expiry_;
  };

  using Map = std::map<std::string, KeyValue>;

  bool Holds(const Compare& aCompare) const;
  Result<void> Check(const std::vector<StoreOperation>& aOperations) const;
  void Put(const PutRequest& aRequest, std::int64_t aRevision);
  /** @returns whether there was a key to delete. */
  bool Delete(const DeleteRequest& aRequest, std::int64_t aRevision);
  void DeleteLeaseKeys(LeaseId aLease);
  void Record(KeyEvent aEvent);

  Map keyValues_;
  std::deque<KeyEvent> events_;
  std::map<LeaseId, LeaseRecord> leases_;
  std::int64_t revision_ = 1;
  std::int64_t compactRevision_ = 1;
  std::int64_t lastLease_ = 7'000'000'000;
};

} // namespace azurecross

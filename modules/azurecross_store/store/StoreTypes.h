#pragma once

#include <azurecross_core/azurecross_core.h>
#include <azurecross_tables/azurecross_tables.h>

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace azurecross {

/** A lease of the platform's store; 0 is no lease. */
using LeaseId = StrongId<struct LeaseIdTag, std::int64_t>;

/** Reads one key, or the keys from `key_` up to, not including, `rangeEnd_`. */
struct RangeRequest
{
  std::string key_;
  std::string rangeEnd_;
  /** At most this many keys; 0 for all. */
  std::int64_t limit_ = 0;
  /** Read as of this store revision; 0 for the newest. */
  std::int64_t revision_ = 0;
  /** Highest key first. */
  bool isDescending_ = false;
};

struct PutRequest
{
  std::string key_;
  std::string value_;
  LeaseId lease_;
};

/** Deletes one key, or the keys from `key_` up to `rangeEnd_`. */
struct DeleteRequest
{
  std::string key_;
  std::string rangeEnd_;
};

using StoreOperation = std::variant<RangeRequest, PutRequest, DeleteRequest>;

/** What a transaction compares of a key. */
enum class CompareTarget
{
  /** The store revision of the last write; 0 if there is no such key. */
  ModRevision,
  /** The store revision of the first write; 0 if there is no such key. */
  CreateRevision,
  Lease,
};

inline constexpr NameTable<CompareTarget, 3> kCompareTargetNames{
  { { { CompareTarget::ModRevision, "MOD" },
      { CompareTarget::CreateRevision, "CREATE" },
      { CompareTarget::Lease, "LEASE" } } }
};

/** Holds if the key's property has exactly this value. */
struct Compare
{
  std::string key_;
  CompareTarget target_ = CompareTarget::ModRevision;
  std::int64_t value_ = 0;
};

/** Runs `success_` if all comparisons hold, else `failure_`, atomically. */
struct Transaction
{
  std::vector<Compare> compares_;
  std::vector<StoreOperation> success_;
  std::vector<StoreOperation> failure_;
};

struct RangeAnswer
{
  std::vector<KeyValue> keyValues_;
  /** The store's revision when it answered. */
  std::int64_t storeRevision_ = 0;
  /** Whether the limit left keys out. */
  bool hasMore_ = false;
};

struct TransactionAnswer
{
  bool succeeded_ = false;
  std::int64_t storeRevision_ = 0;
  /** One for each operation that ran; empty for puts and deletes. */
  std::vector<RangeAnswer> ranges_;
};

struct LeaseAnswer
{
  LeaseId id_;
  /** 0 if the lease has expired or was revoked. */
  std::chrono::seconds timeToLive_{ 0 };
};

struct WatchRequest
{
  std::string key_;
  std::string rangeEnd_;
  /** The first store revision to report; 0 for changes from now on. */
  std::int64_t startRevision_ = 0;
};

/** Events that became visible together. */
struct WatchBatch
{
  /** True once, when the store has accepted the watch. */
  bool isCreated_ = false;
  std::vector<KeyEvent> events_;
  std::int64_t storeRevision_ = 0;
};

/** Takes a batch; @returns whether to go on watching. */
using WatchHandler = std::function<bool(const WatchBatch&)>;

/** How a watch ended without a failure. */
enum class WatchEnd
{
  /** The handler returned false. */
  Stopped,
  /** Nothing arrived for the idle time; the connection may be dead. */
  Idle,
  /** The store no longer has the revision to start from. */
  Compacted,
  /** The store ended the watch. */
  Cancelled,
};

} // namespace azurecross

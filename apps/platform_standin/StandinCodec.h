#pragma once

#include <azurecross_store/store/StoreTypes.h>

#include <string>
#include <string_view>
#include <vector>

namespace azurecross {

// The JSON form of etcd v3 requests and answers, from the store's side.

Result<RangeRequest>
ParseRangeRequest(std::string_view aText);
Result<Transaction>
ParseTransaction(std::string_view aText);
/** @returns the time to live in seconds. */
Result<std::chrono::seconds>
ParseLeaseGrantRequest(std::string_view aText);
Result<LeaseId>
ParseLeaseRequest(std::string_view aText);
Result<WatchRequest>
ParseWatchRequest(std::string_view aText);

std::string
SerializeRangeAnswer(const RangeAnswer& aAnswer);
std::string
SerializeTransactionAnswer(const Transaction& aTransaction,
                           const TransactionAnswer& aAnswer);
std::string
SerializeLeaseAnswer(const LeaseAnswer& aAnswer, std::int64_t aRevision);
/** @returns the answer as one part of a stream. */
std::string
SerializeKeepaliveAnswer(const LeaseAnswer& aAnswer, std::int64_t aRevision);
std::string
SerializeEtcdError(int aCode, std::string_view aMessage);

/** @returns the first message of a watch, with a newline. */
std::string
SerializeWatchCreated(std::int64_t aRevision);
std::string
SerializeWatchCompacted(std::int64_t aRevision, std::int64_t aCompactRevision);
std::string
SerializeWatchEvents(const std::vector<KeyEvent>& aEvents,
                     std::int64_t aRevision);

} // namespace azurecross

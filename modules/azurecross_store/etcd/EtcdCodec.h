#pragma once

#include "../store/StoreTypes.h"

#include <string>
#include <string_view>

namespace azurecross {

// The JSON form of etcd v3 requests and answers, from the client's side.

std::string
SerializeRange(const RangeRequest& aRequest);

std::string
SerializeTransaction(const Transaction& aTransaction);

std::string
SerializeLeaseGrant(std::chrono::seconds aTimeToLive);

/** The body of a keepalive or a revocation. */
std::string
SerializeLease(LeaseId aLease);

std::string
SerializeWatch(const WatchRequest& aRequest);

Result<RangeAnswer>
ParseRangeAnswer(std::string_view aText);

Result<TransactionAnswer>
ParseTransactionAnswer(std::string_view aText);

Result<LeaseAnswer>
ParseLeaseGrantAnswer(std::string_view aText);

/** Reads the answer of a keepalive, which is wrapped as a stream part. */
Result<LeaseAnswer>
ParseLeaseKeepaliveAnswer(std::string_view aText);

/** One message of a watch stream. */
struct WatchMessage
{
  WatchBatch batch_;
  bool isCancelled_ = false;
  /** Not 0 if the start revision was compacted. */
  std::int64_t compactRevision_ = 0;
};

/** Reads one message of a watch; a message with an error is a failure. */
Result<WatchMessage>
ParseWatchMessage(std::string_view aText);

/**
 * Reads the body of an answer whose status is not 200. From status 500 on a
 * write may have taken effect.
 */
Error
ParseEtcdError(unsigned aStatus, std::string_view aText);

} // namespace azurecross

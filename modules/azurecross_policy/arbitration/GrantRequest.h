#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <vector>

namespace azurecross {

/** A request for one slot on a backend server, as an entry sends it. */
struct GrantRequest
{
  RequestId request_;
  EntryId entry_;
  CustomerId customer_;
  Rank rank_ = Rank::Urgent;
  RouteName route_;
  /** Empty for plain services. */
  ModelName model_;
  std::uint32_t promptTokens_ = 0;
  /** The caller's limit on output tokens; 0 if there is none. */
  std::uint32_t outputLimit_ = 0;
  /**
   * Chained hashes of the prompt's blocks: the hash at index i covers blocks
   * 0 to i.
   */
  std::vector<std::uint64_t> prefixHashes_;
  /** Latest useful time of the first token, or of the start of a call to a
   * plain service. */
  Time deadline_ = Time::max();
  /** Backend servers that must not be granted because an earlier attempt used
   * them. */
  std::vector<BackendServerId> excluded_;
};

/** A grant that an entry still holds, reported to a new home entry. */
struct InFlightGrant
{
  GrantId grant_;
  GrantRequest request_;
  BackendServerId backendServer_;
  /** Output tokens generated so far. */
  std::uint32_t tokens_ = 0;
};

/** Result of the request that held a slot. */
enum class GrantOutcome
{
  /** The backend server sent the complete answer. */
  Completed,
  /** The caller disconnected, or the entry did not use the slot. */
  Cancelled,
  /** The backend server refused the request, failed or closed the connection
     before the end of the answer. */
  Failed,
  /** The backend server could not be reached. */
  Unreachable,
};

inline constexpr NameTable<GrantOutcome, 4> kGrantOutcomeNames{
  { { { GrantOutcome::Completed, "completed" },
      { GrantOutcome::Cancelled, "cancelled" },
      { GrantOutcome::Failed, "failed" },
      { GrantOutcome::Unreachable, "unreachable" } } }
};

} // namespace azurecross

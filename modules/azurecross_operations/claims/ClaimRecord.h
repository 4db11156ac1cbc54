#pragma once

#include "../ledger/OperationRecord.h"

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azurecross {

/** What a claim in the store says. */
enum class ClaimState
{
  /** Held by an attempt, which may be running, or may never have run. */
  Claimed,
  Finished,
  /** The holder lost sight of the outcome. */
  Unknown,
};

inline constexpr NameTable<ClaimState, 3> kClaimStateNames{
  { { { ClaimState::Claimed, "claimed" },
      { ClaimState::Finished, "finished" },
      { ClaimState::Unknown, "unknown" } } }
};

/** The value of a claim under a caller's own key. */
struct ClaimRecord
{
  CustomerId customer_;
  /** The caller's key; the store key has only its hash. */
  std::string key_;
  std::uint64_t fingerprint_ = 0;
  /** Unique among all attempts of all entries. */
  std::string attempt_;
  /** The entry that can say whether the attempt ran. */
  EntryId holder_;
  Incarnation incarnation_;
  ClaimState state_ = ClaimState::Claimed;
  std::optional<StoredAnswer> answer_;
  std::int64_t claimedMilliseconds_ = 0;
  /** When the store may drop the claim. */
  std::int64_t expiresMilliseconds_ = 0;

  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/** @returns the JSON text for the store. */
std::string
EncodeClaim(const ClaimRecord& aClaim);

/** @returns nothing if the text isn't a claim; treat that as unknown. */
std::optional<ClaimRecord>
DecodeClaim(std::string_view aText);

/** @returns the key of the claim in the store. */
std::string
MakeClaimStoreKey(const CustomerId& aCustomer, std::string_view aKey);

} // namespace azurecross

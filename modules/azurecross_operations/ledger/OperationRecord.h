#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <optional>
#include <string>

namespace azurecross {

/** The answer of a backend server, kept for repeats of its operation. */
struct StoredAnswer
{
  unsigned status_ = 0;
  std::string contentType_;
  std::string body_;

  std::size_t CountBytes() const { return contentType_.size() + body_.size(); }

  friend bool operator==(const StoredAnswer&, const StoredAnswer&) = default;
};

/** What is known of an operation that was allowed to run. */
enum class OperationState
{
  /** Allowed to run; no outcome yet. */
  Running,
  /** Ran; the answer is kept unless it was too large or had to make room. */
  Finished,
  /** May have run. Never allowed to run again. */
  Unknown,
};

inline constexpr NameTable<OperationState, 3> kOperationStateNames{
  { { { OperationState::Running, "running" },
      { OperationState::Finished, "finished" },
      { OperationState::Unknown, "unknown" } } }
};

/** One operation in a ledger. */
struct OperationRecord
{
  /** The attempt that was allowed to run. */
  std::string attempt_;
  /** The entry that runs it. */
  EntryId runner_;
  CustomerId customer_;
  std::uint64_t fingerprint_ = 0;
  OperationState state_ = OperationState::Running;
  std::optional<StoredAnswer> answer_;
  /** When the record may be dropped, by the owner's clock. */
  std::int64_t expiresMilliseconds_ = 0;
};

} // namespace azurecross

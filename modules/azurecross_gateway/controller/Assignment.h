#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <optional>

namespace azurecross {

/** A granted slot. Each is released exactly once. */
struct Assignment
{
  GrantId grant_;
  BackendServerId backendServer_;
  SocketAddress address_;
};

/** How the use of a slot ended. */
enum class ReleaseResult
{
  /** The whole answer was received. */
  Completed,
  /** The backend server failed, or its answer was wrong. */
  BackendServerFailed,
  /** The caller left, or stopped reading. */
  CallerLeft,
  /** No byte was sent to the backend server, for no fault of its own. */
  NotUsed,
};

inline constexpr NameTable<ReleaseResult, 4> kReleaseResultNames{
  { { { ReleaseResult::Completed, "completed" },
      { ReleaseResult::BackendServerFailed, "backend_server_failed" },
      { ReleaseResult::CallerLeft, "caller_left" },
      { ReleaseResult::NotUsed, "not_used" } } }
};

/** What the arbiter learns when a slot is given back. */
struct ReleaseOutcome
{
  ReleaseResult result_ = ReleaseResult::NotUsed;
  /** Whether the request may have run, as the caller was told. */
  Verdict verdict_ = Verdict::NotRun;
  /** Tokens received; 0 for services. */
  std::uint64_t outputTokens_ = 0;
  /** From the grant to the first token or the head of the answer. */
  std::optional<Duration> firstTokenTime_;
  /** From the grant to the release. */
  Duration useTime_{};
};

} // namespace azurecross

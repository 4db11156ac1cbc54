#pragma once

#include "ServerLimitTable.h"
#include "WarmUpTable.h"

#include <cstdint>
#include <optional>
#include <string>

namespace azurecross {

enum class PermitMessageKind
{
  /** A daemon asks for a permit. */
  Request,
  /** The issuer grants or denies it. */
  Reply,
  /** Permits that were not used. */
  Return,
  /** Requests that were sent without a permit. */
  Charge,
};

inline constexpr NameTable<PermitMessageKind, 4> kPermitMessageKindNames{
  { { { PermitMessageKind::Request, "request" },
      { PermitMessageKind::Reply, "reply" },
      { PermitMessageKind::Return, "return" },
      { PermitMessageKind::Charge, "charge" } } }
};

/** A message between two daemons about permits for one backend server. */
struct PermitMessage
{
  PermitMessageKind kind_ = PermitMessageKind::Request;
  std::string sender_;
  std::string receiver_;
  /** Chosen by the sender of a request and repeated in the reply. */
  std::uint64_t id_ = 0;
  BackendServerId server_;
  AvailabilityZone serverZone_;
  /** What the sender knows about the limit of the server. */
  std::optional<ServerLimit> limit_;
  /** Set if the sender knows that the server is cold. */
  std::optional<WarmUp> warmUp_;
  /** Request: the longest usable wait. Reply: the time until the permit may be
   * used, or until one is expected to be free. */
  Duration wait_{};
  /** Request: its rank; the lowest is served first. */
  int rank_ = 0;
  bool isGranted_ = false;
  /** The number of permits that are returned, or of requests without one. */
  std::uint32_t count_ = 1;
};

} // namespace azurecross

#pragma once

#include <azurecross_dispatch/azurecross_dispatch.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurecross {

/** What one daemon tells the others of its use of the backend servers. */
struct LoadReport
{
  /** The sender's peer address. */
  std::string sender_;
  std::vector<ServerUse> uses_;
  /** Servers that began to leave lately. */
  std::vector<BackendServerId> leaving_;
  /** Whether the sender hears from the store. */
  bool hasStoreAccess_ = true;
  /** What the sender has learned; nothing if it is unchanged. */
  std::optional<std::vector<ServerFinding>> findings_;
};

/** @returns the report as JSON. */
std::string
FormatLoadReport(const LoadReport& aReport);

/** @returns the report, or nothing if the text is none. */
std::optional<LoadReport>
ParseLoadReport(std::string_view aText);

} // namespace azurecross

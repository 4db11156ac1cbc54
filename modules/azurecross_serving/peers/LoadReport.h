#pragma once

#include <azurecross_dispatch/azurecross_dispatch.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurecross {

/** A report to the other daemons about the load that one daemon places on the
 * backend servers. */
struct LoadReport
{
  /** The sender's peer address. */
  std::string sender_;
  std::vector<ServerUse> uses_;
  /** Servers that started to leave within the last seconds. */
  std::vector<BackendServerId> leaving_;
  /** Whether the store answers the sender. */
  bool hasStoreAccess_ = true;
  /** The speeds and failure rates that the sender has measured for the servers;
   * empty if the report omits them. */
  std::optional<std::vector<ServerFinding>> findings_;
};

/** @returns the report as JSON. */
std::string
FormatLoadReport(const LoadReport& aReport);

/** @returns the report, or nothing if the text is not a valid report. */
std::optional<LoadReport>
ParseLoadReport(std::string_view aText);

} // namespace azurecross

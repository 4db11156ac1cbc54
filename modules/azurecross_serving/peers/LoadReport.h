#pragma once

#include <azurecross_dispatch/azurecross_dispatch.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace azurecross {

/** A report to the other daemons about the load that one daemon, or all daemons
 * of some zones, place on the backend servers. */
struct LoadReport
{
  /** The sender's peer address. */
  std::string sender_;
  LoadScope scope_ = LoadScope::Daemon;
  /** The zone of the sender. */
  std::string zone_;
  /** The number of daemons that the report covers. */
  std::uint32_t daemonCount_ = 1;
  std::vector<ServerUsage> uses_;
  /** Servers that started to leave within the last seconds. */
  std::vector<BackendServerId> leaving_;
  /** Whether the store answers the sender. */
  bool hasStoreAccess_ = true;
  /** The version of the sender's tables; 0 if it has none. */
  std::uint64_t tablesVersion_ = 0;
  /** The speeds and failure rates that the sender has measured for the servers;
   * empty if the report omits them. */
  std::optional<std::vector<ReportedStatistics>> findings_;
  /** The fastest paces of engines. */
  std::vector<ReportedPace> paces_;
  /** How much longer gaps of disturbed engines are. */
  DecayedMean disturbedRatio_;
  /** Fingerprints that are suspected to end servers. */
  std::vector<FingerprintEvidence> evidence_;
  /** What servers have stated about their rate limits. */
  std::vector<ServerLimit> limits_;
  /** Servers that are cold. */
  std::vector<std::pair<BackendServerId, WarmUp>> cold_;
};

/** @returns the report as JSON. Times are sent as ages, because the clocks of
 * the daemons have different origins. */
std::string
FormatLoadReport(const LoadReport& aReport, Time aNow);

/** @returns the report, or nothing if the text is not a valid report. */
std::optional<LoadReport>
ParseLoadReport(std::string_view aText, Time aNow);

} // namespace azurecross

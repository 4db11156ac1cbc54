#include "EntrySettings.h"

#include <algorithm>
#include <thread>

namespace azurecross {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::int64_t kMaxWorkers = 256;
constexpr std::int64_t kMebibyte = std::int64_t{ 1 } << 20;

std::int64_t
GetDefaultWorkers()
{
  const auto cores =
    static_cast<std::int64_t>(std::thread::hardware_concurrency());
  return std::clamp<std::int64_t>(cores, 1, kMaxWorkers);
}

void
AddPlace(SettingsParser& aParser)
{
  aParser.AddRequiredText("entry-id",
                          "Name of this entry, unique in the fleet");
  aParser.AddRequiredText("availability-zone", "Availability zone of this VM");
  aParser.AddNumber(
    "weight", 1.0, 0.01, 1000, "Relative size of this VM among the entries");
}

void
AddAddresses(SettingsParser& aParser)
{
  aParser.AddAddress("listen", "0.0.0.0:8080", "Where callers connect");
  aParser.AddAddress(
    "operations-listen",
    "127.0.0.1:8081",
    "Where /metrics, /healthz, /readyz, /status, /explain are");
  aParser.AddAddress(
    "peer-listen", "127.0.0.1:8082", "Where other entries connect");
  aParser.AddText("peer-address",
                  "",
                  "Address told to other entries; empty: that of peer-listen");
  aParser.AddAddresses(
    "peers", "", "Peer addresses to join first; others are learned");
  aParser.AddAddresses(
    "store", "127.0.0.1:2379", "Addresses of the platform's store");
  aParser.AddAddresses(
    "vm-list", "", "Address of the platform's VM list; empty: not used");
}

void
AddLimits(SettingsParser& aParser)
{
  aParser.AddInteger(
    "workers", GetDefaultWorkers(), 1, kMaxWorkers, "Worker threads");
  aParser.AddInteger(
    "header-limit-bytes", 16384, 1024, kMebibyte, "Largest request header");
  aParser.AddInteger("body-limit-bytes",
                     8 * kMebibyte,
                     1024,
                     256 * kMebibyte,
                     "Largest request body");
  aParser.AddMilliseconds("request-timeout-ms",
                          seconds(30),
                          milliseconds(100),
                          hours(1),
                          "How long a request may take to arrive");
  aParser.AddMilliseconds("write-timeout-ms",
                          seconds(30),
                          milliseconds(100),
                          hours(1),
                          "How long a write may wait for a caller");
  aParser.AddMilliseconds(
    "drain-grace-ms",
    seconds(2),
    milliseconds(0),
    minutes(10),
    "How long a stopping entry at least goes on answering new requests with "
    "503, until the balancer has noticed");
  aParser.AddMilliseconds(
    "drain-timeout-ms",
    milliseconds(0),
    milliseconds(0),
    hours(24),
    "How long a planned stop waits for running requests; 0: without limit");
}

void
AddPolicy(SettingsParser& aParser)
{
  aParser.AddNumber("lesser-floor",
                    0.1,
                    0,
                    0.9,
                    "Share of capacity that lesser work keeps in a flood");
  aParser.AddFlag("pace",
                  "Keep lesser work under the busiest minute of the month, "
                  "but for its floor");
  aParser.AddMilliseconds("minute-offset-ms",
                          milliseconds(0),
                          milliseconds(0),
                          milliseconds(59'999),
                          "How long before a UTC minute the supplier's billed "
                          "minute begins");
  aParser.AddInteger("queue-limit",
                     1000,
                     1,
                     1'000'000,
                     "Queued requests per arbitration group and rank");
  aParser.AddMilliseconds("load-poll-interval-ms",
                          milliseconds(1000),
                          milliseconds(50),
                          seconds(60),
                          "Time between load reports of a backend server");
  aParser.AddMilliseconds("operation-retention-ms",
                          hours(24),
                          seconds(1),
                          hours(24 * 7),
                          "How long operation records are kept");
  aParser.AddInteger("operation-memory-bytes",
                     64 * kMebibyte,
                     kMebibyte,
                     4096 * kMebibyte,
                     "Memory for operation records");
}

void
AddRunning(SettingsParser& aParser)
{
  aParser.AddChoice("log-level",
                    "info",
                    { "debug", "info", "warning", "error" },
                    "Lowest level that is logged");
  aParser.AddFlag("check", "Check the settings and exit");
  aParser.AddFlag("test-controls",
                  "Accept link cuts on the operations port; for tests only");
}

std::optional<SettingsExit>
ReadPeerAddress(const SettingValues& aValues, EntrySettings& aSettings)
{
  const std::string& text = aValues.GetText("peer-address");
  if (text.empty()) {
    aSettings.peerAddress_ = aSettings.peerListen_;
    return std::nullopt;
  }
  const auto address = ParseSocketAddress(text);
  if (!address) {
    const SettingError error{ "peer-address",
                              text,
                              "empty, or an IP address and port" };
    return SettingsExit{ kExitInvalidSettings,
                         "azurecross-entry: " + error.Describe() + "\n" };
  }
  aSettings.peerAddress_ = *address;
  return std::nullopt;
}

void
FillSettings(const SettingValues& aValues, EntrySettings& aSettings)
{
  aSettings.entryId_ = EntryId(aValues.GetText("entry-id"));
  aSettings.availabilityZone_ =
    AvailabilityZone(aValues.GetText("availability-zone"));
  aSettings.weight_ = aValues.GetNumber("weight");
  aSettings.listen_ = aValues.GetAddress("listen");
  aSettings.operationsListen_ = aValues.GetAddress("operations-listen");
  aSettings.peerListen_ = aValues.GetAddress("peer-listen");
  aSettings.seedPeers_ = aValues.GetAddresses("peers");
  aSettings.store_ = aValues.GetAddresses("store");
  aSettings.vmList_ = aValues.GetAddresses("vm-list");
  aSettings.workers_ = static_cast<int>(aValues.GetInteger("workers"));
  aSettings.headerLimitBytes_ =
    static_cast<std::uint32_t>(aValues.GetInteger("header-limit-bytes"));
  aSettings.bodyLimitBytes_ =
    static_cast<std::size_t>(aValues.GetInteger("body-limit-bytes"));
  aSettings.requestTimeout_ = aValues.GetMilliseconds("request-timeout-ms");
  aSettings.writeTimeout_ = aValues.GetMilliseconds("write-timeout-ms");
  aSettings.drainGrace_ = aValues.GetMilliseconds("drain-grace-ms");
  aSettings.drainTimeout_ = aValues.GetMilliseconds("drain-timeout-ms");
  aSettings.lesserFloor_ = aValues.GetNumber("lesser-floor");
  aSettings.isPaced_ = aValues.GetFlag("pace");
  aSettings.minuteOffset_ = aValues.GetMilliseconds("minute-offset-ms");
  aSettings.queueLimit_ =
    static_cast<std::size_t>(aValues.GetInteger("queue-limit"));
  aSettings.loadPollInterval_ =
    aValues.GetMilliseconds("load-poll-interval-ms");
  aSettings.operationRetention_ =
    aValues.GetMilliseconds("operation-retention-ms");
  aSettings.operationMemoryBytes_ =
    static_cast<std::size_t>(aValues.GetInteger("operation-memory-bytes"));
  aSettings.logLevel_ =
    kLogLevelNames.FindValue(aValues.GetText("log-level")).value();
  aSettings.checkOnly_ = aValues.GetFlag("check");
  aSettings.testControls_ = aValues.GetFlag("test-controls");
}

} // namespace

std::variant<EntrySettings, SettingsExit>
ReadEntrySettings(int aCount, const char* const* aArguments)
{
  SettingsParser parser(
    "azurecross-entry",
    "Routes requests of callers to model engines and plain services.");
  AddPlace(parser);
  AddAddresses(parser);
  AddLimits(parser);
  AddPolicy(parser);
  AddRunning(parser);
  auto outcome = parser.Parse(aCount, aArguments);
  if (const auto* refusal = std::get_if<SettingsExit>(&outcome)) {
    return *refusal;
  }
  const auto& values = std::get<SettingValues>(outcome);
  EntrySettings settings;
  FillSettings(values, settings);
  if (const auto refusal = ReadPeerAddress(values, settings)) {
    return *refusal;
  }
  return settings;
}

} // namespace azurecross

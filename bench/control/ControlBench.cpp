#include "ScenarioRunner.h"

#include <azurecross_cluster/azurecross_cluster.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <iostream>

namespace azurecross {

namespace {

// The budgets of docs/design.md, 1.7.
constexpr double kMostCpuPercent = 3.0;
constexpr double kMostMegabytes = 256.0;
constexpr double kMostBytesPerSecond = 25'000.0;

/** Of 47 peers and 590 replicas; the base of all slopes. */
constexpr int kPeers = 47;
constexpr int kReplicas = 590;
constexpr double kTableChanges = 0.44;
constexpr double kGrants = 90.0;

// Positions of the scenarios in `ListScenarios`.
constexpr std::size_t kBase = 0;
constexpr std::size_t kFewPeers = 1;
constexpr std::size_t kFewReplicas = 2;
constexpr std::size_t kManyChanges = 3;
constexpr std::size_t kAsking = 4;
constexpr std::size_t kServing = 5;
constexpr std::size_t kKinds = 6;

std::vector<Scenario>
ListScenarios(std::chrono::milliseconds aWarmUp,
              std::chrono::milliseconds aDuration)
{
  Scenario base;
  base.name_ = "base";
  base.warmUp_ = aWarmUp;
  base.duration_ = aDuration;
  std::vector<Scenario> scenarios(7, base);
  scenarios[kFewPeers].name_ = "few_peers";
  scenarios[kFewPeers].peers_ = 12;
  scenarios[kFewReplicas].name_ = "few_replicas";
  scenarios[kFewReplicas].replicas_ = 64;
  scenarios[kManyChanges].name_ = "many_changes";
  scenarios[kManyChanges].tableChanges_ = 10.0;
  scenarios[kAsking].name_ = "asking";
  scenarios[kAsking].grantsAsked_ = kGrants;
  scenarios[kServing].name_ = "serving";
  scenarios[kServing].grantsServed_ = kGrants;
  scenarios[kKinds].name_ = "kinds";
  scenarios[kKinds].countsKinds_ = true;
  return scenarios;
}

boost::json::object
DescribeMeasurement(const Measurement& aMeasurement)
{
  return { { "cpu_percent", aMeasurement.cpuPercent_ },
           { "bytes_per_s", aMeasurement.bytesPerSecond_ },
           { "messages_per_s", aMeasurement.messagesPerSecond_ },
           { "rss_mb", aMeasurement.residentMegabytes_ },
           { "members", aMeasurement.members_ },
           { "dropped", aMeasurement.dropped_ } };
}

/** @returns what one more unit costs, between two runs. */
boost::json::object
DescribeSlope(const Measurement& aLess, const Measurement& aMore, double aUnits)
{
  return {
    { "cpu_percent", (aMore.cpuPercent_ - aLess.cpuPercent_) / aUnits },
    { "bytes_per_s", (aMore.bytesPerSecond_ - aLess.bytesPerSecond_) / aUnits },
    { "messages_per_s",
      (aMore.messagesPerSecond_ - aLess.messagesPerSecond_) / aUnits },
  };
}

/** @returns the bytes per second by kind of message. */
boost::json::object
DescribeKinds(const Measurement& aMeasurement)
{
  using Message = wire::PeerMessage;
  static constexpr std::array kKindNames = {
    std::pair{ Message::kHeartbeat, "heartbeat" },
    std::pair{ Message::kGossipDigest, "gossip_digest" },
    std::pair{ Message::kGossipDelta, "gossip_delta" },
    std::pair{ Message::kTableRequest, "table_request" },
    std::pair{ Message::kTableDelta, "table_delta" },
  };
  boost::json::object kinds;
  for (const auto& [kind, name] : kKindNames) {
    kinds[name] = aMeasurement.bytesByKind_.at(kind);
  }
  return kinds;
}

boost::json::object
DescribeResults(const std::vector<Scenario>& aScenarios,
                const std::vector<Measurement>& aResults)
{
  const Measurement& base = aResults[kBase];
  const Measurement& asking = aResults[kAsking];
  boost::json::object slopes{
    { "per_peer",
      DescribeSlope(
        aResults[kFewPeers], base, kPeers - aScenarios[kFewPeers].peers_) },
    { "per_replica",
      DescribeSlope(aResults[kFewReplicas],
                    base,
                    kReplicas - aScenarios[kFewReplicas].replicas_) },
    { "per_table_change",
      DescribeSlope(base,
                    aResults[kManyChanges],
                    aScenarios[kManyChanges].tableChanges_ - kTableChanges) },
    { "per_grant_asked", DescribeSlope(base, asking, kGrants) },
    { "per_grant_served", DescribeSlope(base, aResults[kServing], kGrants) },
  };
  boost::json::object runs;
  for (std::size_t index = 0; index < aResults.size(); ++index) {
    runs[aScenarios[index].name_] = DescribeMeasurement(aResults[index]);
  }
  return {
    { "bench", "control" },
    { "peers", kPeers },
    { "replicas", kReplicas },
    { "cpu_percent", base.cpuPercent_ },
    { "rss_mb", base.residentMegabytes_ },
    { "bytes_per_s", base.bytesPerSecond_ },
    { "messages_per_s", base.messagesPerSecond_ },
    { "grants_per_s", kGrants },
    { "grant_cpu_percent", asking.cpuPercent_ - base.cpuPercent_ },
    { "grant_bytes_per_s", asking.bytesPerSecond_ - base.bytesPerSecond_ },
    { "bytes_per_s_by_kind", DescribeKinds(aResults[kKinds]) },
    { "slopes", std::move(slopes) },
    { "runs", std::move(runs) },
  };
}

/** @returns whether the runs are valid; a small zone would look cheap. */
bool
AreRunsValid(const std::vector<Scenario>& aScenarios,
             const std::vector<Measurement>& aResults)
{
  bool areValid = true;
  for (std::size_t index = 0; index < aResults.size(); ++index) {
    const auto& [scenario, result] =
      std::tie(aScenarios[index], aResults[index]);
    const double grants =
      (scenario.grantsAsked_ + scenario.grantsServed_) *
      std::chrono::duration<double>(scenario.duration_).count();
    if (result.members_ != static_cast<std::uint64_t>(scenario.peers_) + 1) {
      std::cerr << scenario.name_ << ": saw " << result.members_
                << " members\n";
      areValid = false;
    }
    // The rest is on its way at the start and the end of the measured time.
    if (static_cast<double>(result.grants_) < 0.9 * grants) {
      std::cerr << scenario.name_ << ": " << result.grants_ << " grants of "
                << grants << "\n";
      areValid = false;
    }
  }
  return areValid;
}

bool
IsWithin(const char* aName, double aValue, double aMost)
{
  if (aValue <= aMost) {
    return true;
  }
  std::cerr << aName << " is " << aValue << ", the bound is " << aMost << "\n";
  return false;
}

bool
CheckBounds(const Measurement& aBase)
{
  const bool cpu = IsWithin("cpu_percent", aBase.cpuPercent_, kMostCpuPercent);
  const bool memory =
    IsWithin("rss_mb", aBase.residentMegabytes_, kMostMegabytes);
  const bool bytes =
    IsWithin("bytes_per_s", aBase.bytesPerSecond_, kMostBytesPerSecond);
  return cpu && memory && bytes;
}

int
RunBench(const SettingValues& aSettings)
{
  const auto scenarios = ListScenarios(aSettings.GetMilliseconds("warm-up"),
                                       aSettings.GetMilliseconds("duration"));
  const auto results = RunScenarios(scenarios);
  const boost::json::object described = DescribeResults(scenarios, results);
  if (aSettings.GetFlag("json")) {
    std::cout << boost::json::serialize(described) << "\n";
  } else {
    for (const auto& [name, value] : described) {
      std::cout << name << ": " << boost::json::serialize(value) << "\n";
    }
  }
  if (!AreRunsValid(scenarios, results)) {
    return EXIT_FAILURE;
  }
  const bool isWithin =
    !aSettings.GetFlag("check") || CheckBounds(results[kBase]);
  return isWithin ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

} // namespace azurecross

int
main(int aCount, char** aArguments)
{
  using namespace azurecross;
  using namespace std::chrono_literals;
  SettingsParser parser(
    "azurecross-control-bench",
    "Measures what one entry spends on its peers at 47 peers and 590 replicas, "
    "with generated messages over loopback.");
  parser.AddFlag("json", "Print one JSON line");
  parser.AddFlag("check", "Fail if a control budget is exceeded");
  parser.AddMilliseconds("warm-up", 12s, 1s, 600s, "Time before measuring");
  parser.AddMilliseconds("duration", 10s, 1s, 600s, "Measured time");
  const auto outcome = parser.Parse(aCount, aArguments);
  if (const auto* exit = std::get_if<SettingsExit>(&outcome)) {
    std::cerr << exit->text_;
    return exit->status_;
  }
  return RunBench(std::get<SettingValues>(outcome));
}

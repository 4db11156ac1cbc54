#include "Disruptions.h"

#include <filesystem>
#include <iostream>

namespace {

using namespace azurecross;
using namespace azurecross::soak;
using review::Milliseconds;

constexpr std::string_view kProgramName = "azurecross-soak";
constexpr Milliseconds kReadyTimeout{ 30000 };
/** Number of the first loopback address; the entries' follow. */
constexpr unsigned kBackendsIpNumber = 1;
constexpr unsigned kFirstEntryIpNumber = 2;

SettingsParser
MakeParser()
{
  SettingsParser parser(std::string(kProgramName),
                        "Runs entries as processes, disrupts them and checks "
                        "what callers and backend servers see.");
  parser.AddInteger("seed", 1, 1, 1'000'000'000, "Seed of all random choices");
  parser.AddInteger("seconds", 60, 1, 86400, "Time of the disruptions, in s");
  parser.AddInteger("processes", 6, 1, 240, "Number of entries");
  parser.AddInteger("callers", 60, 1, 5000, "Number of callers");
  parser.AddFlag("planned", "Plans all work: no kills, pauses or link faults");
  parser.AddFlag(
    "signals-at-once",
    "Sends signals to starting entries while they are loaded, too");
  parser.AddText("folder", "", "Folder for logs; empty: a temporary one");
  return parser;
}

std::vector<platform::EntryProcessSettings>
MakeEntrySettings(unsigned aCount, const review::Endpoint& aStore)
{
  std::vector<platform::EntryProcessSettings> entries;
  for (unsigned index = 0; index < aCount; ++index) {
    platform::EntryProcessSettings settings;
    settings.name_ = "entry-" + std::to_string(index + 1);
    settings.ip_ = platform::MakeLoopbackIp(kFirstEntryIpNumber + index);
    settings.zone_ = index % 2 == 0 ? "worcester" : "robertson";
    settings.store_ = aStore;
    settings.hasEvacuations_ = true;
    entries.push_back(std::move(settings));
  }
  return entries;
}

/** Runs the soak. @returns what was observed. */
Observations
Run(const SettingValues& aValues,
    Backends& aBackends,
    const std::string& aFolder)
{
  const auto seed = static_cast<std::uint64_t>(aValues.GetInteger("seed"));
  Fleet fleet(
    MakeEntrySettings(static_cast<unsigned>(aValues.GetInteger("processes")),
                      aBackends.GetStore()),
    aFolder,
    aValues.GetFlag("signals-at-once"));
  if (!fleet.WaitUntilReady(kReadyTimeout)) {
    throw std::runtime_error("the entries are not ready");
  }
  Callers callers(
    fleet, static_cast<unsigned>(aValues.GetInteger("callers")), seed);
  Disruptions disruptions(fleet,
                          aBackends,
                          seed + 1,
                          aValues.GetFlag("planned"),
                          aFolder + "/disruptions.txt");
  std::this_thread::sleep_for(
    std::chrono::seconds(aValues.GetInteger("seconds")));
  disruptions.Finish();
  Observations observations;
  observations.calls_ = callers.Finish();
  fleet.Finish();
  observations.ledger_ = &aBackends.GetLedger();
  observations.serverFaults_ = disruptions.GetServerFaults();
  observations.customerGaps_ = disruptions.GetCustomerGaps();
  observations.evacuations_ = disruptions.GetEvacuations();
  observations.serverZones_ = aBackends.GetServerZones();
  for (std::size_t index = 0; index < fleet.GetSize(); ++index) {
    const FleetEntry& entry = fleet.GetEntry(index);
    observations.histories_.push_back(entry.GetHistory());
    for (const std::string& end : entry.GetUnexpectedEnds()) {
      observations.unexpectedEnds_.push_back(end);
    }
  }
  for (const auto& [id, since] : aBackends.GetLeavingServers()) {
    observations.leavingServers_[id] = since;
  }
  return observations;
}

/** Prints how many requests had which end. */
void
PrintSummary(const Observations& aObservations)
{
  std::map<std::string, unsigned> counts;
  for (const CallRecord& call : aObservations.calls_) {
    ++counts[std::string(kRequestKindNames.FindName(call.kind_)) + " " +
             (call.isWhole_ ? std::to_string(call.status_) : "cut")];
  }
  std::cout << "requests " << aObservations.calls_.size() << "\n";
  for (const auto& [name, count] : counts) {
    std::cout << "  " << name << ": " << count << "\n";
  }
  std::map<EntryEvent, unsigned> events;
  for (const auto& history : aObservations.histories_) {
    for (const TimedEvent& event : history) {
      ++events[event.event_];
    }
  }
  for (const auto& [event, count] : events) {
    std::cout << "  " << kEntryEventNames.FindName(event) << ": " << count
              << "\n";
  }
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  const auto parsed = MakeParser().Parse(aArgumentCount, aArguments);
  if (const auto* settingsExit = std::get_if<SettingsExit>(&parsed)) {
    (settingsExit->status_ == 0 ? std::cout : std::cerr) << settingsExit->text_;
    return settingsExit->status_;
  }
  const auto& values = std::get<SettingValues>(parsed);
  try {
    const platform::TestFolder temporary;
    std::string folder = values.GetText("folder");
    if (folder.empty()) {
      folder = temporary.GetPath();
    }
    std::filesystem::create_directories(folder);
    Backends backends(kBackendsIpNumber);
    const Observations observations = Run(values, backends, folder);
    PrintSummary(observations);
    const std::vector<Violation> violations = FindViolations(observations);
    for (const Violation& violation : violations) {
      std::cout << "broken " << kPromiseNames.FindName(violation.promise_)
                << " seed " << values.GetInteger("seed") << " folder " << folder
                << ": " << violation.detail_ << "\n";
    }
    std::cout << "seed " << values.GetInteger("seed") << ": "
              << violations.size() << " broken" << std::endl;
    return violations.empty() ? 0 : 1;
  } catch (const std::exception& exception) {
    std::cerr << kProgramName << ": " << exception.what() << "\n";
    return 2;
  }
}

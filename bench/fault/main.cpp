#include "FaultRun.h"

#include <azurecross_core/azurecross_core.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <filesystem>
#include <iostream>

namespace azurecross {

namespace {

namespace json = boost::json;

constexpr const char* kProgram = "azurecross-fault-bench";
constexpr int kExitViolations = 1;
constexpr int kExitNotMeasured = 3;

SettingsParser
MakeParser()
{
  SettingsParser parser(kProgram,
                        "Starts entries, stand-ins and callers on loopback, "
                        "injects faults and counts broken promises.");
  parser.AddFlag("json", "Print one JSON object");
  parser.AddInteger("seed", 1, 0, INT64_MAX, "Seed of faults and callers");
  parser.AddNumber("seconds", 20, 1, 3600, "Length of the run with faults");
  parser.AddNumber(
    "baseline-seconds", 8, 0, 600, "Length of the run without; 0: none");
  parser.AddInteger("entries", 3, 2, 8, "Entries");
  parser.AddInteger("stream-callers", 12, 0, 200, "Streams at a time");
  parser.AddInteger("operation-callers", 8, 0, 200, "Operations at a time");
  parser.AddText("programs", "", "Folder of the programs; empty: ../apps");
  parser.AddText("scratch", "", "Folder for logs; empty: a temporary one");
  return parser;
}

double
FindPercentile99(std::vector<double> aValues)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  return aValues[(aValues.size() - 1) * 99 / 100];
}

json::object
Describe(const Figures& aFigures, double aGoodputWithoutFaults)
{
  json::object faults;
  for (const auto& [name, count] : aFigures.faults_) {
    faults[name] = count;
  }
  return {
    { "requests", aFigures.requests_ },
    { "double_runs", aFigures.doubleRuns_ },
    { "false_not_run", aFigures.falseNotRun_ },
    { "tokens_lost", aFigures.tokensLost_ },
    { "tokens_repeated", aFigures.tokensRepeated_ },
    { "tokens_from_second_generation", aFigures.tokensFromSecondGeneration_ },
    { "crossed_answers", aFigures.crossedAnswers_ },
    { "reverted_edits", aFigures.revertedEdits_ },
    { "edits", aFigures.edits_ },
    { "edits_measured", aFigures.editSeconds_.size() },
    { "edit_p99_s", FindPercentile99(aFigures.editSeconds_) },
    { "work_after_leaving_3s", aFigures.workAfterLeaving_ },
    { "cut_by_planned_stop", aFigures.cutByPlannedStop_ },
    { "unfinished", aFigures.unfinished_ },
    { "store_calls_per_s", aFigures.storeCallsPerSecond_ },
    { "streams_completed", aFigures.streamsCompleted_ },
    { "streams_resumed", aFigures.streamsResumed_ },
    { "tokens", aFigures.tokens_ },
    { "operations_answered", aFigures.operationsAnswered_ },
    { "operations_unknown", aFigures.operationsUnknown_ },
    { "goodput", aFigures.goodput_ },
    { "goodput_without_faults", aGoodputWithoutFaults },
    { "violations", aFigures.CountViolations() },
    { "faults", std::move(faults) },
    { "examples",
      json::array(aFigures.examples_.begin(), aFigures.examples_.end()) }
  };
}

std::string
FindPrograms(const SettingValues& aSettings)
{
  const std::string& folder = aSettings.GetText("programs");
  if (!folder.empty()) {
    return folder;
  }
  const auto self = std::filesystem::read_symlink("/proc/self/exe");
  return self.parent_path().parent_path() / "apps";
}

FaultRunOptions
ReadOptions(const SettingValues& aSettings, const std::string& aScratch)
{
  FaultRunOptions options;
  options.programs_ = FindPrograms(aSettings);
  options.scratch_ = aScratch;
  options.seed_ = static_cast<std::uint64_t>(aSettings.GetInteger("seed"));
  options.seconds_ = aSettings.GetNumber("seconds");
  options.entries_ = static_cast<int>(aSettings.GetInteger("entries"));
  options.streamCallers_ =
    static_cast<int>(aSettings.GetInteger("stream-callers"));
  options.operationCallers_ =
    static_cast<int>(aSettings.GetInteger("operation-callers"));
  return options;
}

void
Print(const json::object& aResult, bool aIsJson)
{
  if (aIsJson) {
    std::cout << json::serialize(aResult) << "\n";
    return;
  }
  for (const auto& entry : aResult) {
    std::cout << entry.key() << ": " << json::serialize(entry.value()) << "\n";
  }
}

int
Run(const SettingValues& aSettings)
{
  const std::string& given = aSettings.GetText("scratch");
  const std::filesystem::path scratch =
    given.empty() ? std::filesystem::temp_directory_path() /
                      ("azurecross-fault-" + DrawUniqueName())
                  : std::filesystem::path(given);
  std::filesystem::create_directories(scratch);
  const ScopeGuard cleanUp([&] {
    if (given.empty()) {
      std::filesystem::remove_all(scratch);
    }
  });
  FaultRunOptions options = ReadOptions(aSettings, scratch);
  double goodput = 0;
  const double baseline = aSettings.GetNumber("baseline-seconds");
  if (baseline > 0) {
    FaultRunOptions calm = options;
    calm.hasFaults_ = false;
    calm.seconds_ = baseline;
    const Figures figures = RunWithFaults(calm);
    goodput = figures.goodput_;
    if (figures.CountViolations() > 0) {
      std::cerr << kProgram << ": violations without faults: "
                << json::serialize(Describe(figures, goodput)) << "\n";
    }
  }
  const Figures figures = RunWithFaults(options);
  Print(Describe(figures, goodput), aSettings.GetFlag("json"));
  return figures.CountViolations() > 0 ? kExitViolations : 0;
}

} // namespace

} // namespace azurecross

int
main(int aCount, char** aArguments)
{
  using namespace azurecross;
  const auto outcome = MakeParser().Parse(aCount, aArguments);
  if (const auto* exit = std::get_if<SettingsExit>(&outcome)) {
    (exit->status_ == 0 ? std::cout : std::cerr) << exit->text_;
    return exit->status_;
  }
  try {
    return Run(std::get<SettingValues>(outcome));
  } catch (const std::exception& exception) {
    std::cerr << kProgram << ": " << exception.what() << "\n";
    return kExitNotMeasured;
  }
}

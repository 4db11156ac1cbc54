#include "BenchOptions.h"

namespace azurecross {

std::variant<BenchOptions, SettingsExit>
ReadBenchOptions(int aCount, const char* const* aArguments)
{
  SettingsParser parser("azurecross-relay-bench",
                        "Measures the relay of event streams.");
  parser.AddFlag("json", "Print one line of JSON");
  parser.AddInteger("streams", 2000, 1, 9000, "Concurrent streams");
  parser.AddNumber(
    "tokens-per-second", 34000, 1, 1e6, "Tokens a second over all streams");
  parser.AddNumber("seconds", 10, 1, 600, "Measured time of each target");
  parser.AddInteger("workers", 1, 1, 64, "Worker threads of the entry");
  parser.AddInteger(
    "rounds", 2, 1, 20, "Turns between floor and entry within the time");
  const auto outcome = parser.Parse(aCount, aArguments);
  if (const auto* exit = std::get_if<SettingsExit>(&outcome)) {
    return *exit;
  }
  const auto& values = std::get<SettingValues>(outcome);
  BenchOptions options;
  options.isJson_ = values.GetFlag("json");
  options.streams_ = static_cast<unsigned>(values.GetInteger("streams"));
  options.tokensPerSecond_ = values.GetNumber("tokens-per-second");
  options.seconds_ = values.GetNumber("seconds");
  options.workers_ = static_cast<unsigned>(values.GetInteger("workers"));
  options.rounds_ = static_cast<unsigned>(values.GetInteger("rounds"));
  return options;
}

} // namespace azurecross

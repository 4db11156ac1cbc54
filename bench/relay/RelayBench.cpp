#include "BenchOptions.h"
#include "Phase.h"
#include "Sockets.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cmath>
#include <iostream>

namespace azurecross {

namespace {

double
Round(double aValue)
{
  return std::round(aValue * 1000) / 1000;
}

boost::json::object
Describe(const BenchOptions& aOptions,
         const PhaseResult& aDirect,
         const PhaseResult& aFloor,
         const PhaseResult& aEntry)
{
  const double floorP50 = aFloor.FindLatencyMicroseconds(0.5);
  const double directP50 = aDirect.FindLatencyMicroseconds(0.5);
  const double directP99 = aDirect.FindLatencyMicroseconds(0.99);
  const double entryP50 = aEntry.FindLatencyMicroseconds(0.5);
  const double entryP99 = aEntry.FindLatencyMicroseconds(0.99);
  const double cpu = aEntry.FindCpuMicrosecondsPerToken();
  const double floor = aFloor.FindCpuMicrosecondsPerToken();
  boost::json::object line;
  line["streams"] = aOptions.streams_;
  line["workers"] = aOptions.workers_;
  line["tokens_per_s"] =
    Round(static_cast<double>(aEntry.tokens_) / aEntry.seconds_);
  line["cpu_us_per_token"] = Round(cpu);
  line["floor_us_per_token"] = Round(floor);
  line["cpu_ratio"] = Round(cpu / floor);
  line["added_latency_p50_us"] = entryP50 - directP50;
  line["added_latency_p99_us"] = entryP99 - directP99;
  line["latency_p99_us"] = entryP99;
  line["floor_latency_p50_us"] = floorP50;
  line["floor_latency_p99_us"] = aFloor.FindLatencyMicroseconds(0.99);
  line["direct_latency_p99_us"] = directP99;
  line["lost"] = aEntry.lost_;
  line["reordered"] = aEntry.reordered_;
  line["failed"] = aEntry.failed_ + aFloor.failed_ + aDirect.failed_;
  line["engine_stalls"] = aEntry.engineStalls_;
  return line;
}

int
RunBench(int aCount, const char* const* aArguments)
{
  const auto read = ReadBenchOptions(aCount, aArguments);
  if (const auto* exit = std::get_if<SettingsExit>(&read)) {
    (exit->status_ == 0 ? std::cout : std::cerr) << exit->text_ << '\n';
    return exit->status_;
  }
  const auto& options = std::get<BenchOptions>(read);
  RaiseFileLimit();
  PhaseResult direct;
  PhaseResult floor;
  PhaseResult entry;
  const double seconds = options.seconds_ / options.rounds_;
  // In turns, so that a change of the machine's load meets all of them.
  for (unsigned round = 0; round < options.rounds_; ++round) {
    direct.Add(RunPhase(Target::Direct, options, seconds));
    floor.Add(RunPhase(Target::Floor, options, seconds));
    entry.Add(RunPhase(Target::Entry, options, seconds));
  }
  const auto line = Describe(options, direct, floor, entry);
  if (options.isJson_) {
    std::cout << boost::json::serialize(line) << '\n';
  } else {
    for (const auto& [name, value] : line) {
      std::cout << name << ": " << value << '\n';
    }
  }
  return 0;
}

} // namespace

} // namespace azurecross

int
main(int aCount, char** aArguments)
{
  try {
    return azurecross::RunBench(aCount, aArguments);
  } catch (const std::exception& exception) {
    std::cerr << "azurecross-relay-bench: " << exception.what() << '\n';
    return 1;
  }
}

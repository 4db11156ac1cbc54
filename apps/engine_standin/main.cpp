#include "EngineStandin.h"

#include <standin_common/StandinProgram.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <sstream>

namespace azurecross {

namespace {

using std::chrono::milliseconds;

constexpr const char* kProgram = "azurecross-engine-standin";

SettingsParser
MakeParser()
{
  SettingsParser parser(kProgram,
                        "A model engine for tests and benches: it batches, "
                        "preempts and streams tokens that name themselves.");
  AddStandinSettings(parser);
  parser.AddNumber(
    "tokens-per-second", 50, 0.1, 100'000, "Token rate of each stream");
  parser.AddInteger("batch-limit", 64, 1, 100'000, "Generations at a time");
  parser.AddInteger(
    "memory-tokens", 100'000, 1, 1'000'000'000, "Memory, in tokens");
  parser.AddMilliseconds("first-token-delay",
                         milliseconds(50),
                         milliseconds(0),
                         std::chrono::minutes(10),
                         "Time from the start or resumption to a token");
  parser.AddMilliseconds("retention",
                         milliseconds(5000),
                         milliseconds(0),
                         std::chrono::hours(1),
                         "How long a generation without a reader is kept");
  parser.AddText("models", "", "Loaded models, comma-separated; empty: any");
  parser.AddChoice(
    "fencing", "check", { "check", "ignore" }, "Treatment of old orders");
  parser.AddMilliseconds("load-time",
                         milliseconds(0),
                         milliseconds(0),
                         std::chrono::hours(1),
                         "Time to load a model, adapter or version");
  return parser;
}

std::vector<std::string>
SplitNames(const std::string& aText)
{
  std::vector<std::string> names;
  std::istringstream stream(aText);
  std::string name;
  while (std::getline(stream, name, ',')) {
    names.push_back(name);
  }
  return names;
}

EngineSettings
ReadEngineSettings(const SettingValues& aValues)
{
  EngineSettings settings;
  settings.tokensPerSecond_ = aValues.GetNumber("tokens-per-second");
  settings.batchLimit_ =
    static_cast<std::size_t>(aValues.GetInteger("batch-limit"));
  settings.memoryTokens_ = aValues.GetInteger("memory-tokens");
  settings.firstTokenDelay_ = aValues.GetMilliseconds("first-token-delay");
  settings.retention_ = aValues.GetMilliseconds("retention");
  return settings;
}

int
Run(const SettingValues& aValues)
{
  boost::asio::io_context context(1);
  OrderBook orders(aValues.GetText("fencing") == "check",
                   aValues.GetMilliseconds("load-time"),
                   SplitNames(aValues.GetText("models")));
  EngineStandin engine(
    context.get_executor(), ReadEngineSettings(aValues), std::move(orders));
  boost::asio::co_spawn(context, engine.Run(), boost::asio::detached);
  return RunStandin(kProgram, aValues, context, [&](HttpExchange& aExchange) {
    return engine.Handle(aExchange);
  });
}

} // namespace

} // namespace azurecross

int
main(int aCount, char** aArguments)
{
  using namespace azurecross;
  const auto outcome = MakeParser().Parse(aCount, aArguments);
  if (const auto* exit = std::get_if<SettingsExit>(&outcome)) {
    return PrintExit(*exit);
  }
  return Run(std::get<SettingValues>(outcome));
}

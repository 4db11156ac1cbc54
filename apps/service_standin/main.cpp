#include "ServiceStandin.h"

#include <standin_common/StandinProgram.h>

int
main(int aCount, char** aArguments)
{
  using namespace azurecross;
  constexpr const char* kProgram = "azurecross-service-standin";
  SettingsParser parser(kProgram, "A plain service for tests and benches.");
  AddStandinSettings(parser);
  parser.AddMilliseconds("answer-delay",
                         std::chrono::milliseconds(0),
                         std::chrono::milliseconds(0),
                         std::chrono::minutes(10),
                         "Time from the run to the answer");
  const auto outcome = parser.Parse(aCount, aArguments);
  if (const auto* exit = std::get_if<SettingsExit>(&outcome)) {
    return PrintExit(*exit);
  }
  const auto& settings = std::get<SettingValues>(outcome);
  boost::asio::io_context context(1);
  ServiceStandin service(settings.GetMilliseconds("answer-delay"));
  return RunStandin(kProgram, settings, context, [&](HttpExchange& aExchange) {
    return service.Handle(aExchange);
  });
}

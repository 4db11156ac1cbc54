#include "PlatformStandin.h"

#include <azurecross_core/azurecross_core.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace azurecross {

namespace {

int
Run(const SettingValues& aSettings)
{
  StartLogging(LogLevel::Info, "azurecross-platform-standin");
  const FatalSignalLog fatalSignals("azurecross-platform-standin",
                                    LogOutput::StandardError);
  boost::asio::io_context context(1);
  PlatformStandin standin(context.get_executor(),
                          aSettings.GetAddress("listen"));
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait(
    [&](const boost::system::error_code&, int) { standin.Stop(); });
  standin.Start();
  WriteLog(LogLevel::Info,
           "listening",
           { { "address", standin.GetAddress().Format() } });
  context.run();
  return 0;
}

} // namespace

} // namespace azurecross

int
main(int aCount, char** aArguments)
{
  azurecross::SettingsParser parser(
    "azurecross-platform-standin",
    "Stands in for the platform's store and VM list in tests.");
  parser.AddAddress("listen", "127.0.0.1:2379", "Address to listen on");
  parser.AddFlag("check", "Check the settings and exit");
  const auto outcome = parser.Parse(aCount, aArguments);
  if (const auto* exit = std::get_if<azurecross::SettingsExit>(&outcome)) {
    (exit->status_ == 0 ? std::cout : std::cerr) << exit->text_;
    return exit->status_;
  }
  const auto& settings = std::get<azurecross::SettingValues>(outcome);
  if (settings.GetFlag("check")) {
    return 0;
  }
  try {
    return azurecross::Run(settings);
  } catch (const std::exception& exception) {
    std::cerr << "azurecross-platform-standin: " << exception.what() << "\n";
    return 1;
  }
}

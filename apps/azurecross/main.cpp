#include "CommandContext.h"
#include "Commands.h"

#include <iostream>

int
main(int aCount, char** aArguments)
{
  using namespace azurecross;
  const auto outcome = MakeCommandParser().Parse(aCount, aArguments);
  if (const auto* exit = std::get_if<SettingsExit>(&outcome)) {
    (exit->status_ == 0 ? std::cout : std::cerr) << exit->text_;
    return exit->status_;
  }
  const auto& settings = std::get<SettingValues>(outcome);
  if (settings.GetFlag("check")) {
    return 0;
  }
  try {
    return RunCommand(settings);
  } catch (const std::exception& exception) {
    std::cerr << "azurecross: " << exception.what() << "\n";
    return kExitFailed;
  }
}

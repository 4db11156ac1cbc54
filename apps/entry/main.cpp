#include "EntryDaemon.h"
#include "EntrySettings.h"

#include <azurecross_signals/azurecross_signals.h>

#include <exception>
#include <iostream>

int
main(int aCount, char** aArguments)
{
  using namespace azurecross;
  BlockDaemonSignals();
  const auto outcome = ReadEntrySettings(aCount, aArguments);
  if (const auto* refusal = std::get_if<SettingsExit>(&outcome)) {
    (refusal->status_ == 0 ? std::cout : std::cerr) << refusal->text_;
    return refusal->status_;
  }
  const auto& settings = std::get<EntrySettings>(outcome);
  if (settings.checkOnly_) {
    std::cout << "settings are valid\n";
    return 0;
  }
  try {
    StartLogging(settings.logLevel_, "azurecross-entry");
    const FatalSignalLog fatalSignals("azurecross-entry",
                                      LogOutput::StandardError,
                                      settings.entryId_.GetValue());
    return EntryDaemon(settings).Run();
  } catch (const std::exception& exception) {
    std::cerr << "azurecross-entry: " << exception.what() << "\n";
    return 1;
  }
}

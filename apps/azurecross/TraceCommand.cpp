#include "TraceCommand.h"

#include "RequestTrace.h"

#include <fstream>
#include <iostream>

namespace azurecross {

int
RunTrace(CommandContext& aContext)
{
  const std::string request = aContext.GetArgument(0);
  if (request.empty()) {
    std::cerr << "azurecross: trace needs a request id\n";
    return kExitFailed;
  }
  RequestTrace trace(request);
  if (aContext.CountArguments() == 1) {
    trace.Read(std::cin, "stdin");
  }
  for (std::size_t index = 1; index < aContext.CountArguments(); ++index) {
    const std::string path = aContext.GetArgument(index);
    std::ifstream file(path);
    if (!file) {
      std::cerr << "azurecross: cannot read " << path << "\n";
      return kExitFailed;
    }
    trace.Read(file, path);
  }
  for (const std::string& line : trace.Describe()) {
    std::cout << line << "\n";
  }
  if (trace.CountUnreadable() > 0) {
    std::cerr << "azurecross: " << trace.CountUnreadable()
              << " lines are no records\n";
  }
  if (!trace.IsFound()) {
    std::cerr << "azurecross: no record names " << request << "\n";
    return kExitFailed;
  }
  std::cout << "cause: " << trace.FindCause() << "\n";
  return 0;
}

} // namespace azurecross

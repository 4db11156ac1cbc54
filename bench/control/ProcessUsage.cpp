#include "ProcessUsage.h"

#include <fstream>

#include <sys/resource.h>
#include <unistd.h>

namespace azurecross {

namespace {

Duration
ToDuration(const timeval& aTime)
{
  return std::chrono::seconds(aTime.tv_sec) +
         std::chrono::microseconds(aTime.tv_usec);
}

} // namespace

Duration
ReadProcessorTime()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return ToDuration(usage.ru_utime) + ToDuration(usage.ru_stime);
}

double
ReadResidentMegabytes()
{
  std::ifstream file("/proc/self/statm");
  double total = 0.0;
  double resident = 0.0;
  file >> total >> resident;
  constexpr double kMegabyte = 1024.0 * 1024.0;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / kMegabyte;
}

} // namespace azurecross

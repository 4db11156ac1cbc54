#include "Record.h"

#include <iomanip>

namespace azurecross::harness {

void
Record::Write(const std::string& aText)
{
  const double seconds = GetSeconds(Clock::now());
  const std::lock_guard lock(mutex_);
  file_ << std::fixed << std::setprecision(3) << std::setw(8) << seconds << "  "
        << aText << std::endl;
}

} // namespace azurecross::harness

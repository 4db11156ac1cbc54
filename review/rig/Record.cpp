#include "Record.h"

#include <array>
#include <cstdio>

namespace rig {

std::string
Record::FormatTime(Clock::time_point aTime) const
{
  const std::chrono::duration<double> since = aTime - start_;
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", since.count());
  return text.data();
}

void
Record::WriteAt(Clock::time_point aTime, const std::string& aLine)
{
  const std::lock_guard lock(mutex_);
  file_ << FormatTime(aTime) << " " << aLine << std::endl;
}

} // namespace rig

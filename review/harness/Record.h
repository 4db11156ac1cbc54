#pragma once

#include "Net.h"

#include <fstream>

namespace azurecross::harness {

/** The file in which a case writes what was sent, answered and run. Used by
 * several threads. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file_(aPath)
  {
  }

  /** Writes one line with the time since the begin of the case. */
  void Write(const std::string& aText);
  /** @returns the seconds since the begin of the case. */
  double GetSeconds(Clock::time_point aTime) const
  {
    return std::chrono::duration<double>(aTime - begin_).count();
  }
  Clock::time_point GetBegin() const { return begin_; }

private:
  Clock::time_point begin_ = Clock::now();
  std::mutex mutex_;
  std::ofstream file_;
};

} // namespace azurecross::harness

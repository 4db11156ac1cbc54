#pragma once

#include "Net.h"

#include <fstream>
#include <mutex>

namespace rig {

/** The file `record.txt` of a case: what was sent, answered, run and done, with
 * the seconds since the start. Used by several threads. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file_(aPath)
  {
  }

  void Write(const std::string& aLine) { WriteAt(Clock::now(), aLine); }
  void WriteAt(Clock::time_point aTime, const std::string& aLine);
  /** @returns the seconds since the start, with milliseconds. */
  std::string FormatTime(Clock::time_point aTime) const;

private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

} // namespace rig

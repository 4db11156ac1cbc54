#pragma once

#include "../types/NameTable.h"
#include "Log.h"

#include <array>
#include <csignal>
#include <cstddef>
#include <string_view>
#include <vector>

namespace azurecross {

/** Signals that end the process after a fault of its own. */
enum class FatalSignal
{
  SegmentationFault = SIGSEGV,
  BusError = SIGBUS,
  IllegalInstruction = SIGILL,
  ArithmeticError = SIGFPE,
  Abort = SIGABRT,
};

inline constexpr NameTable<FatalSignal, 5> kFatalSignalNames{
  { { { FatalSignal::SegmentationFault, "SIGSEGV" },
      { FatalSignal::BusError, "SIGBUS" },
      { FatalSignal::IllegalInstruction, "SIGILL" },
      { FatalSignal::ArithmeticError, "SIGFPE" },
      { FatalSignal::Abort, "SIGABRT" } } }
};

/**
 * While it exists, a fatal signal writes the record `fatal_signal` before the
 * earlier action for the signal, usually the default one, ends the process. The
 * exit status and the reports of sanitizers stay the same. At most one object
 * exists at a time.
 *
 * The record's time is that of the last record before, because reading the
 * clock is not safe in a process that has failed. A stack overflow is only
 * recorded on the thread that created the object.
 */
class FatalSignalLog
{
public:
  /** Installs the handlers; call it after `StartLogging`.
   * @param aEntryId the daemon's id, or nothing if the program has none. */
  FatalSignalLog(std::string_view aProgram,
                 LogOutput aOutput,
                 std::string_view aEntryId = {});
  /** Restores the earlier actions. */
  ~FatalSignalLog();

  FatalSignalLog(const FatalSignalLog&) = delete;
  FatalSignalLog& operator=(const FatalSignalLog&) = delete;

private:
  std::vector<char> stack_;
};

} // namespace azurecross

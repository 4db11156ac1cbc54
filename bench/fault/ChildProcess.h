#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace azurecross {

/**
 * A program started by the bench. It is ended with this object, and by the
 * kernel if the bench itself dies.
 */
class ChildProcess
{
public:
  ChildProcess() = default;
  /** Starts the program; its standard error goes to the file. */
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aLogFile);
  ~ChildProcess();

  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;

  /** @returns the first line of standard output; waits for it. */
  std::string ReadLine();
  void Signal(int aSignal) const;
  /** @returns whether it is running; reaps it if it has ended. */
  bool IsRunning();
  /** Waits for the end; @returns the exit status, or -1 after a signal. */
  int Wait();
  /** Kills and reaps. */
  void Kill();

private:
  pid_t pid_ = -1;
  int output_ = -1;
  int status_ = -1;
};

} // namespace azurecross

#include "ChildProcess.h"

#include <array>
#include <csignal>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace azurecross {

namespace {

int
ReadStatus(int aStatus)
{
  return WIFEXITED(aStatus) ? WEXITSTATUS(aStatus) : -1;
}

} // namespace

ChildProcess::ChildProcess(const std::string& aProgram,
                           const std::vector<std::string>& aArguments,
                           const std::string& aLogFile)
{
  std::array<int, 2> pipe{};
  if (::pipe2(pipe.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("can't create a pipe");
  }
  std::vector<char*> arguments = { const_cast<char*>(aProgram.c_str()) };
  for (const std::string& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
      ::open(aLogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(pipe[1], STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execv(arguments.front(), arguments.data());
    ::_exit(127);
  }
  ::close(pipe[1]);
  output_ = pipe[0];
  if (pid_ < 0) {
    throw std::runtime_error("can't fork");
  }
}

ChildProcess::~ChildProcess()
{
  Kill();
}

ChildProcess::ChildProcess(ChildProcess&& aOther) noexcept
  : pid_(std::exchange(aOther.pid_, -1))
  , output_(std::exchange(aOther.output_, -1))
  , status_(aOther.status_)
{
}

ChildProcess&
ChildProcess::operator=(ChildProcess&& aOther) noexcept
{
  if (this != &aOther) {
    Kill();
    pid_ = std::exchange(aOther.pid_, -1);
    output_ = std::exchange(aOther.output_, -1);
    status_ = aOther.status_;
  }
  return *this;
}

std::string
ChildProcess::ReadLine()
{
  std::string line;
  char character = 0;
  while (::read(output_, &character, 1) == 1 && character != '\n') {
    line += character;
  }
  return line;
}

void
ChildProcess::Signal(int aSignal) const
{
  if (pid_ > 0) {
    ::kill(pid_, aSignal);
  }
}

bool
ChildProcess::IsRunning()
{
  int status = 0;
  if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
    pid_ = -1;
    status_ = ReadStatus(status);
  }
  return pid_ > 0;
}

int
ChildProcess::Wait()
{
  int status = 0;
  if (pid_ > 0 && ::waitpid(pid_, &status, 0) == pid_) {
    pid_ = -1;
    status_ = ReadStatus(status);
  }
  return status_;
}

void
ChildProcess::Kill()
{
  if (IsRunning()) {
    Signal(SIGKILL);
    Wait();
  }
  if (output_ >= 0) {
    ::close(std::exchange(output_, -1));
  }
}

} // namespace azurecross

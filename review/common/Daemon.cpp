#include "Daemon.h"

#include "Http.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <vector>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char* kProgram = "target/platform/azurecross-platform-entry";
constexpr Milliseconds kConnectTimeout{ 1000 };
constexpr Milliseconds kPollInterval{ 50 };
constexpr unsigned kAddressesPerByte = 250;
constexpr int kExecFailed = 127;

} // namespace

Record::Record(const std::string& aPath)
  : file_(aPath)
{
}

void
Record::Write(const std::string& aText)
{
  const std::lock_guard lock(mutex_);
  const std::chrono::duration<double> since = Clock::now() - start_;
  file_ << std::fixed << std::setprecision(3) << since.count() << " " << aText
        << std::endl;
}

Daemon::Daemon(const DaemonSettings& aSettings, const std::string& aFolder)
  : settings_(aSettings)
  , folder_(aFolder)
  , front_{ aSettings.ip_, FindFreePort(aSettings.ip_) }
  , ready_{ aSettings.ip_, FindFreePort(aSettings.ip_) }
  , peerPort_(FindFreePort(aSettings.ip_))
{
  WriteSettings();
}

Daemon::~Daemon()
{
  Kill();
}

void
Daemon::WriteSettings() const
{
  std::ofstream file(folder_ + "/" + settings_.name_ + ".toml");
  file << "node = \"" << settings_.name_ << "\"\n"
       << "role = \"entry\"\nmachineClass = \"front\"\n"
       << "serves = [\"front\"]\n"
       << "ip = \"" << settings_.ip_ << "\"\n"
       << "zone = \"" << settings_.zone_ << "\"\nregion = \"cairo\"\n"
       << "portRange = [" << peerPort_ << "," << peerPort_ + 1 << "]\n"
       << "seeds = []\nbootstrap = true\nheartbeatMs = 1200\n"
       << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
          "\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"]\n"
       << "[listen]\nfront = \"" << front_.Format() << "\"\nready = \""
       << ready_.Format() << "\"\n"
       << "[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = "
       << settings_.memoryMb_
       << "\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
       << "[faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n"
       << "[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 3000\n"
          "ackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\n"
          "lostMs = 200\nconfigMs = 2000\nbackMs = 250\nouterMs = 5000\n"
          "revokeStrict = true\nrevokeMs = 5000\nretryRatio = 0.2\n"
          "budgetWindowS = 10\nretrySlack = 54\nrecoverS = 12\n"
          "passMs = 120\nreuseWindowS = 4.8\n"
       << "[provider]\naddress = \"" << settings_.store_.Format()
       << "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\n"
          "historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n";
}

void
Daemon::Start()
{
  const std::string settingsPath = folder_ + "/" + settings_.name_ + ".toml";
  const std::string logPath = folder_ + "/" + settings_.name_ + ".log";
  const std::string variable = "AZURECROSS_NODE_FILE=" + settingsPath;
  std::string program = kProgram;
  std::string assignment = variable;
  std::vector<char*> arguments = { program.data(), nullptr };
  std::vector<char*> environment = { assignment.data(), nullptr };
  const pid_t parent = getpid();
  process_ = fork();
  if (process_ < 0) {
    throw std::runtime_error("fork failed");
  }
  if (process_ == 0) {
    // The daemon doesn't outlive the test.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(kExecFailed);
    }
    const int log =
      open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(kExecFailed);
  }
}

bool
Daemon::AwaitReady(Milliseconds aTimeout) const
{
  const Clock::time_point deadline = Clock::now() + aTimeout;
  while (Clock::now() < deadline) {
    Socket socket;
    HttpReader reader(socket);
    HttpMessage response;
    const bool isAnswered =
      socket.Connect(ready_, kConnectTimeout) &&
      socket.Send("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
      reader.Read(response, kConnectTimeout) == ReadResult::Complete;
    if (isAnswered && response.GetStatus() == 200) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

void
Daemon::Signal(int aSignal) const
{
  if (process_ > 0) {
    kill(process_, aSignal);
  }
}

void
Daemon::Kill()
{
  if (process_ > 0) {
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
    process_ = -1;
  }
}

bool
Daemon::HasEnded()
{
  if (process_ > 0 && waitpid(process_, nullptr, WNOHANG) == process_) {
    process_ = -1;
  }
  return process_ <= 0;
}

std::size_t
Daemon::GetResidentKb() const
{
  std::ifstream file("/proc/" + std::to_string(process_) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream fields(line);
    std::string name;
    std::size_t value = 0;
    if (fields >> name >> value && name == "VmRSS:") {
      return value;
    }
  }
  return 0;
}

std::string
MakeLoopbackIp(unsigned aNumber)
{
  const auto process = static_cast<unsigned>(getpid());
  return "127." + std::to_string(80 + process / kAddressesPerByte % 40) + "." +
         std::to_string(process % kAddressesPerByte + 1) + "." +
         std::to_string(aNumber);
}

bool
IsTroubled()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

int
RunTest(int aArgumentCount, char** aArguments, TestFunction aTest)
{
  constexpr int kCouldNotRun = 2;
  if (aArgumentCount != 3) {
    std::cerr << "usage: PROGRAM RECORD_FILE EMPTY_FOLDER\n";
    return kCouldNotRun;
  }
  try {
    Record record(aArguments[1]);
    return aTest(record, aArguments[2]);
  } catch (const std::exception& exception) {
    std::cerr << exception.what() << "\n";
    return kCouldNotRun;
  }
}

} // namespace review

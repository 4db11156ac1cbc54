#include "Entry.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <vector>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace azurecross::harness {

namespace {

/** The program of the deploy file, from the root of the repository. */
constexpr const char* kProgram = "target/platform/azurecross-platform-entry";
constexpr int kExecFailed = 127;
constexpr Milliseconds kPollInterval{ 20 };
constexpr Milliseconds kAnswerTimeout{ 1000 };
/** Ports on the entry's own loopback address, below those that the system hands
 * out. */
constexpr std::uint16_t kFrontPort = 18740;
constexpr std::uint16_t kReadyPort = 18749;
constexpr std::uint16_t kFirstPeerPort = 17200;
constexpr std::uint16_t kLastPeerPort = 17215;

std::string
FormatSettings(const std::string& aName,
               const std::string& aZone,
               const Endpoint& aFront,
               const Endpoint& aReady,
               const Endpoint& aStore,
               unsigned aMemoryMb)
{
  return "node = \"" + aName +
         "\"\nrole = \"entry\"\nmachineClass = \"front\"\n"
         "serves = [\"front\"]\nip = \"" +
         aFront.ip_ + "\"\nzone = \"" + aZone +
         "\"\nregion = \"western-cape\"\nportRange = [" +
         std::to_string(kFirstPeerPort) + "," + std::to_string(kLastPeerPort) +
         "]\nseeds = []\nbootstrap = true\nlossCounts = false\n"
         "discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n"
         "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
         "\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"]\n"
         "[listen]\nfront = \"" +
         aFront.Format() + "\"\nready = \"" + aReady.Format() +
         "\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = " +
         std::to_string(aMemoryMb) +
         "\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
         "[faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n"
         "[provider]\naddress = \"" +
         aStore.Format() +
         "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\n"
         "historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n"
         "[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 3000\n"
         "ackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\n"
         "lostMs = 200\nconfigMs = 2000\nbackMs = 250\nouterMs = 5000\n"
         "revokeStrict = true\nrevokeMs = 5000\nretryRatio = 0.2\n"
         "budgetWindowS = 10\nretrySlack = 52\nrecoverS = 12\npassMs = 120\n"
         "reuseWindowS = 6.2\n";
}

} // namespace

Folder::Folder()
{
  std::string path =
    (std::filesystem::temp_directory_path() / "azurecross-review-XXXXXX")
      .string();
  if (mkdtemp(path.data()) == nullptr) {
    throw std::system_error(errno, std::generic_category(), "mkdtemp");
  }
  path_ = path;
}

Folder::~Folder()
{
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

Entry::Entry(std::string aName,
             const std::string& aIp,
             std::string aZone,
             const Endpoint& aStore,
             const std::string& aFolder,
             unsigned aMemoryMb)
  : name_(std::move(aName))
  , settingsPath_(aFolder + "/" + name_ + ".toml")
  , logPath_(aFolder + "/" + name_ + ".log")
  , front_{ aIp, kFrontPort }
  , ready_{ aIp, kReadyPort }
{
  std::ofstream(settingsPath_)
    << FormatSettings(name_, aZone, front_, ready_, aStore, aMemoryMb);
}

Entry::~Entry()
{
  Kill();
}

void
Entry::Start()
{
  std::string program = kProgram;
  std::string variable = "AZURECROSS_NODE_FILE=" + settingsPath_;
  std::array<char*, 2> arguments = { program.data(), nullptr };
  std::array<char*, 2> environment = { variable.data(), nullptr };
  const int log = open(logPath_.c_str(),
                       O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                       S_IRUSR | S_IWUSR);
  process_ = fork();
  if (process_ < 0) {
    throw std::system_error(errno, std::generic_category(), "fork");
  }
  if (process_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(kExecFailed);
  }
  close(log);
}

void
Entry::Signal(int aSignal) const
{
  if (process_ > 0) {
    kill(process_, aSignal);
  }
}

void
Entry::Kill()
{
  if (process_ > 0) {
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
    process_ = -1;
  }
}

bool
Entry::IsRunning()
{
  if (process_ > 0 && waitpid(process_, nullptr, WNOHANG) == process_) {
    process_ = -1;
  }
  return process_ > 0;
}

std::size_t
Entry::ReadMemoryKb() const
{
  std::ifstream file("/proc/" + std::to_string(process_) + "/status");
  std::string name;
  std::string value;
  while (file >> name && std::getline(file, value)) {
    if (name == "RssAnon:") {
      return std::stoul(value);
    }
  }
  return 0;
}

bool
Entry::WaitUntilReady(Milliseconds aTimeout) const
{
  const Clock::time_point deadline = Clock::now() + aTimeout;
  while (Clock::now() < deadline) {
    Connection connection(Connect(ready_, kAnswerTimeout));
    Message answer;
    if (connection.IsOpen() &&
        connection.Send("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
        connection.Read(answer, kAnswerTimeout) && answer.GetStatus() == 200) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

} // namespace azurecross::harness

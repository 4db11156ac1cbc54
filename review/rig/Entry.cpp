#include "Entry.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

namespace {

/** The word `run` of the deploy file, from the repository's root. */
constexpr const char* kProgram = "target/platform/azurecross-platform-entry";
constexpr std::uint16_t kFrontPort = 8740;
constexpr std::uint16_t kReadyPort = 8749;
constexpr Milliseconds kPollInterval{ 20 };
constexpr Milliseconds kCallTimeout{ 500 };

std::string
FormatSettings(const std::string& aName,
               const std::string& aHost,
               const std::string& aZone,
               const Endpoint& aStore)
{
  return "node = \"" + aName +
         "\"\nrole = \"entry\"\nmachineClass = \"front\"\n"
         "serves = [\"front\"]\nip = \"" +
         aHost + "\"\nzone = \"" + aZone +
         "\"\nregion = \"cairo\"\nportRange = [7200,7215]\nseeds = []\n"
         "bootstrap = true\ndiscovery = \"platform\"\nentry = \"vip\"\n"
         "heartbeatMs = 1200\n[listen]\nfront = \"" +
         aHost + ":" + std::to_string(kFrontPort) + "\"\nready = \"" + aHost +
         ":" + std::to_string(kReadyPort) +
         "\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 110\n"
         "maxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n[faultTolerance]\n"
         "machines = 2\nzones = 1\nregions = 0\n[provider]\naddress = \"" +
         aStore.Format() +
         "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\n"
         "historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n[bounds]\n"
         "seedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 3000\n"
         "ackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\n"
         "lostMs = 200\nconfigMs = 2000\nbackMs = 250\nouterMs = 5000\n"
         "revokeStrict = true\nrevokeMs = 5000\nretryRatio = 0.2\n"
         "budgetWindowS = 10\nretrySlack = 54\nrecoverS = 12\n"
         "passMs = 120\nreuseWindowS = 4.8\n";
}

} // namespace

Folder::Folder()
{
  std::string path =
    (std::filesystem::temp_directory_path() / "azurecross-case-XXXXXX")
      .string();
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("cannot make a temporary folder");
  }
  path_ = path;
}

Folder::~Folder()
{
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

Entry::Entry(unsigned aNumber,
             const std::string& aZone,
             const Endpoint& aStore,
             const Folder& aFolder,
             Record& aRecord)
  : name_("front-" + aZone + "-" + std::to_string(aNumber))
  , settingsPath_(aFolder.GetPath() + "/" + name_ + ".toml")
  , logPath_(aFolder.GetPath() + "/" + name_ + ".log")
  , front_{ MakeHost(2, aNumber), kFrontPort }
  , ready_{ front_.host_, kReadyPort }
  , record_(aRecord)
{
  std::ofstream file(settingsPath_);
  file << FormatSettings(name_, front_.host_, aZone, aStore);
}

void
Entry::Start()
{
  std::string program = kProgram;
  std::string settings = "AZURECROSS_NODE_FILE=" + settingsPath_;
  std::array<char*, 2> arguments = { program.data(), nullptr };
  std::array<char*, 2> environment = { settings.data(), nullptr };
  const pid_t parent = getpid();
  record_.Write(name_ + " starts");
  process_ = fork();
  if (process_ != 0) {
    return;
  }
  // The entry doesn't outlive the case.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log =
    open(logPath_.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  if (getppid() == parent) {
    execve(arguments[0], arguments.data(), environment.data());
  }
  _exit(127);
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
Entry::IsReady() const
{
  Socket socket;
  HttpReader reader(socket);
  HttpMessage response;
  return socket.Connect(ready_, kCallTimeout) &&
         socket.Send("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
         reader.Read(response, kCallTimeout) && response.GetStatus() == 200;
}

bool
Entry::WaitUntilReady(Milliseconds aTimeout) const
{
  const Clock::time_point end = Clock::now() + aTimeout;
  while (!IsReady()) {
    if (Clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

std::string
MakeHost(unsigned aGroup, unsigned aNumber)
{
  // The process makes the second number, so that cases can run side by side.
  constexpr unsigned kFirst = 16;
  constexpr unsigned kCount = 200;
  const unsigned process = static_cast<unsigned>(getpid()) % kCount + kFirst;
  return "127." + std::to_string(process) + "." + std::to_string(aGroup) + "." +
         std::to_string(aNumber);
}

std::string
FormatConfiguration(unsigned aVersion, const std::string& aTenants)
{
  const auto formatRoute = [](const std::string& aName,
                              const std::string& aKind) {
    return R"({"name":")" + aName + R"(","host":"app.example","prefix":"/)" +
           aName + R"(/","kind":")" + aKind +
           R"(","service":"desk","timeoutMs":1500,"goalMs":300,)"
           R"("maxAttempts":3,"priority":2})";
  };
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
         formatRoute("check", "idempotent") + "," +
         formatRoute("book", "non_idempotent") +
         R"(],"services":[{"name":"desk","healthPath":"/healthz",)"
         R"("maxConns":100,"protocol":"http"}],"limits":)"
         R"({"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":5000,"idleTimeoutMs":10000})" +
         (aTenants.empty() ? "" : R"(,"tenants":)" + aTenants) + "}";
}

bool
IsTroubled()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace rig

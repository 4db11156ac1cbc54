#include "ScenarioRunner.h"

#include "Feeder.h"
#include "MeasuredEntry.h"

#include <array>
#include <csignal>
#include <cstring>
#include <functional>
#include <stdexcept>
#include <type_traits>

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace azurecross {

namespace {

/** A pipe that carries values between a process and its child. */
class Pipe
{
public:
  Pipe()
  {
    if (pipe(ends_.data()) != 0) {
      throw std::runtime_error("can't create a pipe");
    }
  }
  ~Pipe()
  {
    close(ends_[0]);
    close(ends_[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  template<typename Value>
  void Write(const Value& aValue)
  {
    static_assert(std::is_trivially_copyable_v<Value>);
    if (write(ends_[1], &aValue, sizeof(aValue)) != sizeof(aValue)) {
      throw std::runtime_error("can't write to a pipe");
    }
  }

  /** Closes the writing end here, so that a child's end is noticed. */
  void CloseWriting()
  {
    close(ends_[1]);
    ends_[1] = -1;
  }

  template<typename Value>
  Value Read()
  {
    static_assert(std::is_trivially_copyable_v<Value>);
    Value value{};
    if (read(ends_[0], &value, sizeof(value)) != sizeof(value)) {
      throw std::runtime_error("a bench process ended early");
    }
    return value;
  }

private:
  std::array<int, 2> ends_{ -1, -1 };
};

/** A child process, which is ended with this object. */
class Child
{
public:
  explicit Child(const std::function<void()>& aMain)
    : pid_(fork())
  {
    if (pid_ < 0) {
      throw std::runtime_error("can't fork");
    }
    if (pid_ == 0) {
      RunMain(aMain);
    }
  }
  ~Child()
  {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

private:
  [[noreturn]] static void RunMain(const std::function<void()>& aMain)
  {
    // No child outlives a bench that is ended from outside.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    try {
      aMain();
    } catch (const std::exception& error) {
      WriteLog(LogLevel::Error, error.what());
      _exit(EXIT_FAILURE);
    }
    _exit(EXIT_SUCCESS);
  }

  pid_t pid_;
};

/** The two processes of a scenario and their pipes. */
class RunningScenario
{
public:
  explicit RunningScenario(const Scenario& aScenario)
    : scenario_(aScenario)
    , entry_([this] { RunEntry(); })
    , feeder_([this] { RunFeeder(); })
  {
    result_.CloseWriting();
  }

  Measurement Wait() { return result_.Read<Measurement>(); }

private:
  void RunEntry()
  {
    MeasuredEntry entry(scenario_);
    entryPort_.Write(entry.GetAddress().port_);
    const SocketAddress seed{ "127.0.0.1", seedPort_.Read<std::uint16_t>() };
    result_.Write(entry.Run(seed));
  }

  void RunFeeder()
  {
    Feeder feeder(scenario_, { "127.0.0.1", entryPort_.Read<std::uint16_t>() });
    seedPort_.Write(feeder.GetSeed().port_);
    feeder.Run();
  }

  const Scenario scenario_;
  Pipe entryPort_;
  Pipe seedPort_;
  Pipe result_;
  Child entry_;
  Child feeder_;
};

} // namespace

std::vector<Measurement>
RunScenarios(const std::vector<Scenario>& aScenarios)
{
  std::vector<std::unique_ptr<RunningScenario>> running;
  running.reserve(aScenarios.size());
  for (const Scenario& scenario : aScenarios) {
    running.push_back(std::make_unique<RunningScenario>(scenario));
  }
  std::vector<Measurement> results;
  results.reserve(running.size());
  for (const auto& scenario : running) {
    results.push_back(scenario->Wait());
  }
  return results;
}

} // namespace azurecross

#include "Phase.h"

#include "CopyLoop.h"
#include "EngineSource.h"
#include "EntryUnderTest.h"
#include "SharedResults.h"
#include "Sockets.h"
#include "StreamCaller.h"

#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <ctime>
#include <functional>
#include <new>
#include <stdexcept>
#include <thread>

namespace azurecross {

namespace {

/** A forked process, killed and awaited at the end of its scope. */
class ChildProcess
{
public:
  explicit ChildProcess(const std::function<void()>& aRun)
    : id_(::fork())
  {
    if (id_ == 0) {
      aRun();
      ::_exit(0);
    }
  }

  ~ChildProcess()
  {
    if (id_ > 0) {
      ::kill(id_, SIGKILL);
      Wait();
    }
  }

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Wait()
  {
    ::waitpid(id_, nullptr, 0);
    id_ = -1;
  }

  /** @returns the CPU time that the process has used. */
  double ReadCpuSeconds() const
  {
    clockid_t clock = 0;
    timespec time{};
    ::clock_getcpuclockid(id_, &clock);
    ::clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) * 1e-9;
  }

private:
  pid_t id_;
};

/** Memory that child processes share with this one. */
class SharedMemory
{
public:
  SharedMemory()
    : memory_(::mmap(nullptr,
                     sizeof(SharedResults),
                     PROT_READ | PROT_WRITE,
                     MAP_SHARED | MAP_ANONYMOUS,
                     -1,
                     0))
  {
    if (memory_ == MAP_FAILED) {
      throw std::runtime_error("cannot map shared memory");
    }
    new (memory_) SharedResults();
  }

  ~SharedMemory() { ::munmap(memory_, sizeof(SharedResults)); }

  SharedMemory(const SharedMemory&) = delete;
  SharedMemory& operator=(const SharedMemory&) = delete;

  SharedResults& Get() const { return *static_cast<SharedResults*>(memory_); }

private:
  void* memory_;
};

/** A listening socket, closed at the end of its scope. */
class Listener
{
public:
  Listener()
    : socket_(ListenOnLoopback())
  {
    if (socket_ < 0) {
      throw std::runtime_error("cannot listen on loopback");
    }
  }
  ~Listener() { ::close(socket_); }

  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  int Get() const { return socket_; }
  std::uint16_t GetPort() const { return FindPort(socket_); }

private:
  int socket_;
};

void
Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

/** Waits up to 20 s for a value that another process sets. */
template<typename Value>
void
WaitForValue(const std::atomic<Value>& aValue, const char* aWhat)
{
  for (int wait = 0; wait < 20000 && aValue.load() == 0; ++wait) {
    Sleep(0.001);
  }
  if (aValue.load() == 0) {
    throw std::runtime_error(aWhat);
  }
}

} // namespace

void
PhaseResult::Add(const PhaseResult& aOther)
{
  cpuSeconds_ += aOther.cpuSeconds_;
  seconds_ += aOther.seconds_;
  tokens_ += aOther.tokens_;
  lost_ += aOther.lost_;
  reordered_ += aOther.reordered_;
  failed_ += aOther.failed_;
  engineStalls_ += aOther.engineStalls_;
  latencies_.resize(kLatencyBuckets);
  for (std::size_t at = 0; at < aOther.latencies_.size(); ++at) {
    latencies_[at] += aOther.latencies_[at];
  }
}

double
PhaseResult::FindCpuMicrosecondsPerToken() const
{
  return tokens_ == 0 ? 0 : cpuSeconds_ * 1e6 / static_cast<double>(tokens_);
}

double
PhaseResult::FindLatencyMicroseconds(double aShare) const
{
  const double wanted = aShare * static_cast<double>(tokens_);
  double seen = 0;
  for (std::size_t at = 0; at < latencies_.size(); ++at) {
    seen += static_cast<double>(latencies_[at]);
    if (seen >= wanted) {
      return static_cast<double>(at);
    }
  }
  return 0;
}

PhaseResult
RunPhase(Target aTarget, const BenchOptions& aOptions, double aSeconds)
{
  const SharedMemory memory;
  SharedResults& results = memory.Get();
  const Listener engineListener;
  const Listener floorListener;
  const std::uint16_t enginePort = engineListener.GetPort();
  const std::uint64_t tokens = aOptions.CountTokensPerStream(aSeconds);
  ChildProcess engine(
    [&] { RunEngineSource(engineListener.Get(), aOptions, tokens, results); });
  ChildProcess target([&] {
    if (aTarget == Target::Entry) {
      RunEntryUnderTest(enginePort, aOptions, results);
    } else if (aTarget == Target::Floor) {
      results.targetPort_.store(floorListener.GetPort());
      RunCopyLoop(floorListener.Get(), enginePort, aOptions);
    }
    results.targetPort_.store(enginePort);
    ::pause();
  });
  WaitForValue(results.targetPort_, "the target does not listen");
  ChildProcess caller([&] {
    RunStreamCaller(static_cast<std::uint16_t>(results.targetPort_.load()),
                    aOptions,
                    tokens,
                    results);
  });
  WaitForValue(results.startNanoseconds_, "the streams did not open");
  Sleep(BenchOptions::kWarmUpSeconds);

  PhaseResult result;
  const std::uint64_t startedAt = ReadNanoseconds();
  const double cpuBefore = target.ReadCpuSeconds();
  results.isMeasuring_.store(true);
  Sleep(aSeconds);
  results.isMeasuring_.store(false);
  result.cpuSeconds_ = target.ReadCpuSeconds() - cpuBefore;
  result.seconds_ = static_cast<double>(ReadNanoseconds() - startedAt) * 1e-9;
  caller.Wait();
  result.tokens_ = results.tokens_.load();
  result.lost_ = results.lost_.load();
  result.reordered_ = results.reordered_.load();
  result.failed_ = results.failed_.load();
  result.engineStalls_ = results.engineStalls_.load();
  result.latencies_.assign(results.latencies_,
                           results.latencies_ + kLatencyBuckets);
  return result;
}

} // namespace azurecross

#include <boost/test/unit_test.hpp>

#include <azurecross_core/azurecross_core.h>

#include <sys/mman.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <functional>
#include <limits>
#include <string>

namespace azurecross {

namespace {

/** What a program left behind. */
struct ProgramEnd
{
  std::string output_;
  int status_ = 0;
};

[[noreturn]] void
RunFailingProgram(int aDescriptor, const std::function<void()>& aFail)
{
  dup2(aDescriptor, STDERR_FILENO);
  const rlimit noCore{ 0, 0 };
  setrlimit(RLIMIT_CORE, &noCore);
  // The test framework and the sanitizers handle these signals themselves.
  for (const int number : { SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT }) {
    std::signal(number, SIG_DFL);
  }
  StartLogging(LogLevel::Info, "failing-program");
  const FatalSignalLog fatalSignals(
    "failing-program", LogOutput::StandardError, "entry-7");
  WriteLog(LogLevel::Info, "listening");
  aFail();
  _exit(0);
}

ProgramEnd
RunUntilItFails(const std::function<void()>& aFail)
{
  std::array<int, 2> pipeEnds{};
  BOOST_REQUIRE(pipe(pipeEnds.data()) == 0);
  const pid_t child = fork();
  BOOST_REQUIRE(child >= 0);
  if (child == 0) {
    RunFailingProgram(pipeEnds[1], aFail);
  }
  close(pipeEnds[1]);
  ProgramEnd end;
  std::array<char, 4096> part{};
  for (ssize_t length = 0;
       (length = read(pipeEnds[0], part.data(), part.size())) > 0;) {
    end.output_.append(part.data(), static_cast<std::size_t>(length));
  }
  close(pipeEnds[0]);
  waitpid(child, &end.status_, 0);
  return end;
}

/** @returns the line after the first one. */
std::string
FindSecondLine(const std::string& aText)
{
  const std::size_t first = aText.find('\n');
  return aText.substr(std::min(first, aText.size() - 1) + 1);
}

void
CheckRecord(const ProgramEnd& aEnd, const std::string& aSignalName)
{
  constexpr std::size_t kTimeEnd = 33;
  const std::string line = FindSecondLine(aEnd.output_);
  // The time is that of the record before.
  BOOST_TEST(line.substr(0, kTimeEnd) == aEnd.output_.substr(0, kTimeEnd));
  BOOST_TEST(line.substr(std::min(kTimeEnd, line.size())) ==
             R"(","level":"error","program":"failing-program",)"
             R"("message":"fatal_signal","signal":")" +
               aSignalName + R"(","entry":"entry-7"})" + "\n");
}

/** Takes at least 4 KiB of the stack for each call. */
int
FillStack(const volatile char* aCaller, int aCalls)
{
  volatile char frame[4096]; // NOLINT: a plain array has no bounds to check
  frame[0] = *aCaller;
  return aCalls == 0 ? 0 : FillStack(frame, aCalls - 1) + frame[0];
}

} // namespace

// Guards against a process that ends by a signal without a word in its log.
BOOST_AUTO_TEST_CASE(FatalSignalIsRecordedAndEndsTheProcess)
{
  for (const FatalSignal fatalSignal : { FatalSignal::SegmentationFault,
                                         FatalSignal::BusError,
                                         FatalSignal::IllegalInstruction,
                                         FatalSignal::ArithmeticError,
                                         FatalSignal::Abort }) {
    const int number = static_cast<int>(fatalSignal);
    const ProgramEnd end = RunUntilItFails([number] { std::raise(number); });
    CheckRecord(end, std::string(kFatalSignalNames.FindName(fatalSignal)));
    BOOST_TEST(WIFSIGNALED(end.status_));
    BOOST_TEST(WTERMSIG(end.status_) == number);
  }
}

// Guards against a fault that repeats in the handler instead of the process's
// end.
BOOST_AUTO_TEST_CASE(InvalidAccessIsRecordedOnce)
{
  const ProgramEnd end = RunUntilItFails([] {
    auto* page = static_cast<volatile char*>(
      mmap(nullptr, 4096, PROT_NONE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0));
    *page = 1;
  });
  CheckRecord(end, "SIGSEGV");
  BOOST_TEST(WIFSIGNALED(end.status_));
  BOOST_TEST(WTERMSIG(end.status_) == SIGSEGV);
}

// Guards against a handler that has no stack left after a stack overflow.
BOOST_AUTO_TEST_CASE(StackOverflowIsRecorded)
{
  const ProgramEnd end = RunUntilItFails([] {
    const char start = 0;
    _exit(FillStack(&start, std::numeric_limits<int>::max()));
  });
  CheckRecord(end, "SIGSEGV");
  BOOST_TEST(WIFSIGNALED(end.status_));
  BOOST_TEST(WTERMSIG(end.status_) == SIGSEGV);
}

// Guards against an uncaught exception that ends the process without a record.
BOOST_AUTO_TEST_CASE(UncaughtExceptionIsRecordedAsAbort)
{
  const ProgramEnd end = RunUntilItFails([] { std::terminate(); });
  BOOST_TEST(end.output_.find(R"("signal":"SIGABRT")") != std::string::npos);
  BOOST_TEST(WIFSIGNALED(end.status_));
  BOOST_TEST(WTERMSIG(end.status_) == SIGABRT);
}

} // namespace azurecross

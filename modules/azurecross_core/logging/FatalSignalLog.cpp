#include "FatalSignalLog.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <string>

namespace azurecross {

namespace {

constexpr std::array kSignals = { FatalSignal::SegmentationFault,
                                  FatalSignal::BusError,
                                  FatalSignal::IllegalInstruction,
                                  FatalSignal::ArithmeticError,
                                  FatalSignal::Abort };
/** Also holds the frame of a handler that answers the system calls made here.
 */
constexpr std::size_t kStackBytes = std::size_t{ 64 } * 1024;
/** Every record begins with its time. */
constexpr std::string_view kTimePrefix = R"({"time":")";

/** What the handler needs for one signal; prepared because a handler must not
 * allocate memory. */
struct PreparedSignal
{
  int number_ = 0;
  std::string line_;
  struct sigaction previous_ = {};
};

std::array<PreparedSignal, kSignals.size()> gPreparedSignals;
int gDescriptor = STDERR_FILENO;

/** @returns whether a write to the log blocks. Log records on standard output
 * are dropped rather than to wait for a slow reader. */
bool
IsWriteBlocked()
{
  if (gDescriptor == STDERR_FILENO) {
    return false;
  }
  pollfd poller{ gDescriptor, POLLOUT, 0 };
  return poll(&poller, 1, 0) != 1 || (poller.revents & POLLOUT) == 0;
}

void
HandleFatalSignal(int aSignal, siginfo_t* aInfo, void*)
{
  for (PreparedSignal& prepared : gPreparedSignals) {
    if (prepared.number_ != aSignal) {
      continue;
    }
    // A second fault of this kind must not run this handler again.
    sigaction(aSignal, &prepared.previous_, nullptr);
    const LogTime time = GetLastLogTime();
    std::copy(
      time.begin(), time.end(), prepared.line_.begin() + kTimePrefix.size());
    if (!IsWriteBlocked()) {
      // There is nowhere to report that the record can't be written.
      [[maybe_unused]] const ssize_t ignored =
        write(gDescriptor, prepared.line_.data(), prepared.line_.size());
    }
  }
  // A faulting instruction fails again when it is repeated; a signal that was
  // sent has to be sent again.
  if (aInfo->si_code <= 0) {
    raise(aSignal);
  }
}

std::string
FormatLine(std::string_view aProgram,
           std::string_view aEntryId,
           FatalSignal aSignal)
{
  boost::json::object line;
  line["time"] = std::string(std::tuple_size_v<LogTime>, ' ');
  line["level"] = kLogLevelNames.FindName(LogLevel::Error);
  line["program"] = aProgram;
  line["message"] = "fatal_signal";
  line["signal"] = kFatalSignalNames.FindName(aSignal);
  if (!aEntryId.empty()) {
    line["entry"] = aEntryId;
  }
  return boost::json::serialize(line) + "\n";
}

} // namespace

FatalSignalLog::FatalSignalLog(std::string_view aProgram,
                               LogOutput aOutput,
                               std::string_view aEntryId)
{
  gDescriptor =
    aOutput == LogOutput::StandardOutput ? STDOUT_FILENO : STDERR_FILENO;
  stack_t current{};
  sigaltstack(nullptr, &current);
  // Sanitizers bring a stack of their own.
  if ((current.ss_flags & SS_DISABLE) != 0) {
    stack_.resize(kStackBytes);
    stack_t stack{};
    stack.ss_sp = stack_.data();
    stack.ss_size = stack_.size();
    sigaltstack(&stack, nullptr);
  }
  for (std::size_t index = 0; index < kSignals.size(); ++index) {
    PreparedSignal& prepared = gPreparedSignals[index];
    prepared.line_ = FormatLine(aProgram, aEntryId, kSignals[index]);
    prepared.number_ = static_cast<int>(kSignals[index]);
    struct sigaction action = {};
    action.sa_sigaction = HandleFatalSignal;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK;
    sigemptyset(&action.sa_mask);
    sigaction(prepared.number_, nullptr, &prepared.previous_);
    sigaction(prepared.number_, &action, nullptr);
  }
}

FatalSignalLog::~FatalSignalLog()
{
  for (const PreparedSignal& prepared : gPreparedSignals) {
    sigaction(prepared.number_, &prepared.previous_, nullptr);
  }
  if (!stack_.empty()) {
    stack_t disabled{};
    disabled.ss_flags = SS_DISABLE;
    sigaltstack(&disabled, nullptr);
  }
}

} // namespace azurecross

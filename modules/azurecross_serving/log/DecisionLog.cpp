#include "DecisionLog.h"

namespace azurecross {

namespace {

constexpr Duration kWindow = std::chrono::seconds(1);

LogLevel
FindLevel(Decision aDecision)
{
  switch (aDecision) {
    case Decision::RequestFailed:
    case Decision::DependencyLost:
    case Decision::RecordsDropped:
      return LogLevel::Warning;
    default:
      return LogLevel::Info;
  }
}

} // namespace

void
DecisionLog::Write(Decision aDecision, std::initializer_list<LogField> aFields)
{
  if (!IsLogged(FindLevel(aDecision))) {
    return;
  }
  std::uint32_t& written = written_[static_cast<std::size_t>(aDecision)];
  if (written >= budget_) {
    ++leftOut_;
    ++leftOutInAll_;
    return;
  }
  ++written;
  WriteLog(FindLevel(aDecision), kDecisionNames.FindName(aDecision), aFields);
}

void
DecisionLog::Tick(Time aNow)
{
  if (aNow - windowBegan_ < kWindow) {
    return;
  }
  windowBegan_ = aNow;
  written_.fill(0);
  const std::uint64_t dropped = CountDroppedLogRecords();
  if (leftOut_ > 0 || dropped > droppedBefore_) {
    Write(Decision::RecordsDropped,
          { { "over_budget", leftOut_ },
            { "reader_too_slow", dropped - droppedBefore_ } });
  }
  leftOut_ = 0;
  droppedBefore_ = dropped;
}

} // namespace azurecross

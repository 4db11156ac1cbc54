#include "DecisionLog.h"

namespace azurecross {

namespace {

constexpr Duration kBudgetWindow = std::chrono::seconds(1);

LogLevel
GetLevel(Decision aDecision)
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
  if (!IsLogged(GetLevel(aDecision))) {
    return;
  }
  std::uint32_t& written = writtenRecords_[static_cast<std::size_t>(aDecision)];
  if (written >= recordsPerSecond_) {
    ++suppressedRecords_;
    ++totalSuppressedRecords_;
    return;
  }
  ++written;
  WriteLog(GetLevel(aDecision), kDecisionNames.FindName(aDecision), aFields);
}

void
DecisionLog::Tick(Time aNow)
{
  if (aNow - windowStart_ < kBudgetWindow) {
    return;
  }
  windowStart_ = aNow;
  writtenRecords_.fill(0);
  const std::uint64_t dropped = CountDroppedLogRecords();
  if (suppressedRecords_ > 0 || dropped > lastDroppedCount_) {
    Write(Decision::RecordsDropped,
          { { "over_budget", suppressedRecords_ },
            { "reader_too_slow", dropped - lastDroppedCount_ } });
  }
  suppressedRecords_ = 0;
  lastDroppedCount_ = dropped;
}

} // namespace azurecross

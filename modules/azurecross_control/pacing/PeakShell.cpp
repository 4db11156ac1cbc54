#include "PeakShell.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace azurecross {

namespace asio = boost::asio;

namespace {

/** @returns what a range of one key found, or nothing if it is damaged. */
std::optional<StoredPeak>
ToStoredPeak(const RangeAnswer& aAnswer)
{
  if (aAnswer.keyValues_.empty()) {
    return StoredPeak{};
  }
  const KeyValue& found = aAnswer.keyValues_.front();
  const auto peak = ParsePeak(found.value_);
  if (!peak) {
    return std::nullopt;
  }
  return StoredPeak{ *peak, found.modRevision_ };
}

} // namespace

PeakShell::PeakShell(asio::io_context& aContext,
                     EtcdClient& aStore,
                     GrantCoordinator& aGrants,
                     Metrics& aMetrics)
  : context_(aContext)
  , store_(aStore)
  , grants_(aGrants)
  , keeper_(DrawSystemSeed())
  , peakGauge_(aMetrics.GetGauge(
      "azurecross_home_groups_busiest_minute_tokens",
      "Sum over the home groups of the month's busiest minute, in charged "
      "tokens."))
  , writes_(aMetrics.GetCounter("azurecross_peak_writes_total",
                                "Busiest minutes written to the store."))
  , failures_(
      aMetrics.GetCounter("azurecross_peak_failures_total",
                          "Reads and writes of busiest minutes that failed."))
{
}

std::map<GroupId, double>
PeakShell::ListPeaks() const
{
  std::map<GroupId, double> peaks;
  for (const GroupId& group : grants_.ListHomeGroups()) {
    peaks.emplace(group, grants_.FindPeak(group).value_or(0.0));
  }
  return peaks;
}

void
PeakShell::Tick(Time aNow)
{
  if (aNow < nextTick_) {
    return;
  }
  nextTick_ = aNow + kTickInterval;
  const std::map<GroupId, double> peaks = ListPeaks();
  double sum = 0.0;
  for (const auto& [group, peak] : peaks) {
    sum += peak;
  }
  peakGauge_.Set(sum);
  PeakActions actions;
  keeper_.Tick(peaks, FindBillingMonth(ReadUnixMilliseconds()), aNow, actions);
  Process(actions);
}

void
PeakShell::Flush()
{
  PeakActions actions;
  keeper_.Flush(ListPeaks(), actions);
  Process(actions);
}

void
PeakShell::Process(const PeakActions& aActions)
{
  for (const StartGroupMonth& month : aActions.months_) {
    grants_.StartMonth(month.group_);
  }
  for (const LoadGroupPeak& load : aActions.loads_) {
    grants_.LoadPeak(load.group_, load.peak_);
  }
  for (const ReadPeak& read : aActions.reads_) {
    asio::co_spawn(context_, Read(read), asio::detached);
  }
  for (const WritePeak& write : aActions.writes_) {
    asio::co_spawn(context_, Write(write), asio::detached);
  }
}

asio::awaitable<void>
PeakShell::Read(ReadPeak aRead)
{
  RangeRequest request;
  request.key_ = aRead.key_;
  const auto answer = co_await store_.Range(std::move(request));
  if (answer.has_error()) {
    TakeFailure(aRead.group_, aRead.key_, answer.error().message_);
    co_return;
  }
  const auto stored = ToStoredPeak(*answer);
  if (!stored) {
    TakeFailure(aRead.group_, aRead.key_, "the value is not a number");
    co_return;
  }
  PeakActions actions;
  keeper_.TakeRead(aRead, *stored, ReadMonotonicTime(), actions);
  Process(actions);
}

asio::awaitable<void>
PeakShell::Write(WritePeak aWrite)
{
  Transaction transaction;
  transaction.compares_.push_back(
    { aWrite.key_, CompareTarget::ModRevision, aWrite.expectedRevision_ });
  transaction.success_.emplace_back(
    PutRequest{ aWrite.key_, FormatPeak(aWrite.peak_), {} });
  RangeRequest read;
  read.key_ = aWrite.key_;
  transaction.failure_.emplace_back(std::move(read));
  const auto answer = co_await store_.Commit(std::move(transaction));
  if (answer.has_error()) {
    TakeFailure(aWrite.group_, aWrite.key_, answer.error().message_);
    co_return;
  }
  TakeWriteAnswer(aWrite, *answer);
}

void
PeakShell::TakeWriteAnswer(const WritePeak& aWrite,
                           const TransactionAnswer& aAnswer)
{
  if (aAnswer.succeeded_) {
    writes_.Increment();
    keeper_.TakeWritten(aWrite, aAnswer.storeRevision_);
    return;
  }
  const auto stored = aAnswer.ranges_.empty()
                        ? std::nullopt
                        : ToStoredPeak(aAnswer.ranges_.front());
  if (!stored) {
    TakeFailure(aWrite.group_, aWrite.key_, "the value is not a number");
    return;
  }
  PeakActions actions;
  keeper_.TakeConflict(aWrite, *stored, actions);
  Process(actions);
}

void
PeakShell::TakeFailure(const GroupId& aGroup,
                       const std::string& aKey,
                       std::string_view aError)
{
  failures_.Increment();
  WriteLog(LogLevel::Warning,
           "busiest minute not exchanged with the store",
           { { "key", aKey }, { "error", aError } });
  keeper_.TakeFailure(aGroup, aKey, ReadMonotonicTime());
}

} // namespace azurecross

#include "PeakKeeper.h"

#include <charconv>
#include <cmath>
#include <cstdio>

namespace azurecross {

namespace {

constexpr std::string_view kPeakPrefix = "azurecross/peaks/";
constexpr BackoffSettings kBackoff{ std::chrono::seconds(1),
                                    std::chrono::minutes(1) };

/** The store has whole tokens. */
double
FindWholeTokens(double aPeak)
{
  return std::floor(aPeak);
}

} // namespace

BillingMonth
FindBillingMonth(std::int64_t aUnixMilliseconds)
{
  const std::chrono::sys_time<std::chrono::milliseconds> time{
    std::chrono::milliseconds(aUnixMilliseconds)
  };
  const std::chrono::year_month_day day{ std::chrono::floor<std::chrono::days>(
    time) };
  return day.year() / day.month();
}

std::string
MakePeakKey(const GroupId& aGroup, BillingMonth aMonth)
{
  const auto month = static_cast<unsigned>(aMonth.month());
  return std::string(kPeakPrefix) +
         std::to_string(static_cast<int>(aMonth.year())) +
         (month < 10 ? "-0" : "-") + std::to_string(month) + "/" +
         aGroup.pool_.GetValue() + "/" + aGroup.zone_.GetValue() + "/" +
         std::to_string(aGroup.shard_);
}

std::string
FormatPeak(double aPeak)
{
  return std::to_string(std::llround(FindWholeTokens(aPeak)));
}

std::optional<double>
ParsePeak(std::string_view aText)
{
  std::int64_t peak = 0;
  const char* end = aText.data() + aText.size();
  const auto [last, error] = std::from_chars(aText.data(), end, peak);
  if (error != std::errc() || last != end || peak < 0) {
    return std::nullopt;
  }
  return static_cast<double>(peak);
}

PeakKeeper::Group::Group(std::uint64_t aSeed)
  : backoff_(kBackoff, aSeed)
{
}

PeakKeeper::PeakKeeper(std::uint64_t aSeed)
  : seeds_(aSeed)
{
}

void
PeakKeeper::Tick(const std::map<GroupId, double>& aPeaks,
                 BillingMonth aMonth,
                 Time aNow,
                 PeakActions& aActions)
{
  StartMonth(aMonth, aNow, aActions);
  UpdateGroups(aPeaks, aNow);
  for (auto& [id, group] : groups_) {
    Call(id, group, aPeaks.at(id), kLeastGrowth, aNow, aActions);
  }
}

void
PeakKeeper::StartMonth(BillingMonth aMonth, Time aNow, PeakActions& aActions)
{
  if (month_ == aMonth) {
    return;
  }
  const bool isFirst = !month_;
  month_ = aMonth;
  if (isFirst) {
    return;
  }
  for (auto& [id, group] : groups_) {
    group.key_ = MakePeakKey(id, aMonth);
    group.stored_ = {};
    group.isKnown_ = false;
    group.isCalling_ = false;
    group.nextCall_ = aNow;
    aActions.months_.push_back({ id });
  }
}

void
PeakKeeper::UpdateGroups(const std::map<GroupId, double>& aPeaks, Time aNow)
{
  std::erase_if(
    groups_, [&](const auto& aItem) { return !aPeaks.contains(aItem.first); });
  for (const auto& [id, peak] : aPeaks) {
    const auto [position, isNew] = groups_.try_emplace(id, seeds_.DrawBits());
    if (isNew) {
      position->second.key_ = MakePeakKey(id, *month_);
      position->second.nextCall_ = aNow;
    }
  }
}

void
PeakKeeper::Call(const GroupId& aId,
                 Group& aGroup,
                 double aPeak,
                 double aLeastGrowth,
                 Time aNow,
                 PeakActions& aActions)
{
  if (aGroup.isCalling_ || aNow < aGroup.nextCall_) {
    return;
  }
  if (!aGroup.isKnown_) {
    aGroup.isCalling_ = true;
    aActions.reads_.push_back({ aId, aGroup.key_ });
    return;
  }
  if (FindWholeTokens(aPeak) > aLeastGrowth * aGroup.stored_.peak_) {
    aGroup.nextCall_ = aNow + kWriteInterval;
    Write(aId, aGroup, aPeak, aActions);
  }
}

void
PeakKeeper::Write(const GroupId& aId,
                  Group& aGroup,
                  double aPeak,
                  PeakActions& aActions)
{
  aGroup.isCalling_ = true;
  aActions.writes_.push_back(
    { aId, aGroup.key_, aPeak, aGroup.stored_.revision_ });
}

void
PeakKeeper::Flush(const std::map<GroupId, double>& aPeaks,
                  PeakActions& aActions)
{
  for (auto& [id, group] : groups_) {
    const auto peak = aPeaks.find(id);
    const bool hasGrown = peak != aPeaks.end() && group.isKnown_ &&
                          !group.isCalling_ &&
                          FindWholeTokens(peak->second) > group.stored_.peak_;
    if (hasGrown) {
      Write(id, group, peak->second, aActions);
    }
  }
}

PeakKeeper::Group*
PeakKeeper::FindCaller(const GroupId& aGroup, const std::string& aKey)
{
  const auto found = groups_.find(aGroup);
  // The answer may be about an earlier month, or to a group that has left.
  const bool isCurrent = found != groups_.end() && found->second.key_ == aKey &&
                         found->second.isCalling_;
  if (!isCurrent) {
    return nullptr;
  }
  found->second.isCalling_ = false;
  return &found->second;
}

void
PeakKeeper::TakeRead(const ReadPeak& aRead,
                     const StoredPeak& aStored,
                     Time aNow,
                     PeakActions& aActions)
{
  Group* group = FindCaller(aRead.group_, aRead.key_);
  if (group == nullptr) {
    return;
  }
  group->stored_ = aStored;
  group->isKnown_ = true;
  group->nextCall_ = aNow;
  group->backoff_.Reset();
  if (aStored.peak_ > 0.0) {
    aActions.loads_.push_back({ aRead.group_, aStored.peak_ });
  }
}

void
PeakKeeper::TakeWritten(const WritePeak& aWrite, std::int64_t aRevision)
{
  if (Group* group = FindCaller(aWrite.group_, aWrite.key_)) {
    group->stored_ = { aWrite.peak_, aRevision };
    group->backoff_.Reset();
  }
}

void
PeakKeeper::TakeConflict(const WritePeak& aWrite,
                         const StoredPeak& aStored,
                         PeakActions& aActions)
{
  if (Group* group = FindCaller(aWrite.group_, aWrite.key_)) {
    group->stored_ = aStored;
    aActions.loads_.push_back({ aWrite.group_, aStored.peak_ });
  }
}

void
PeakKeeper::TakeFailure(const GroupId& aGroup,
                        const std::string& aKey,
                        Time aNow)
{
  if (Group* group = FindCaller(aGroup, aKey)) {
    // A write whose answer was lost may have been applied: read before the
    // next one.
    group->isKnown_ = false;
    group->nextCall_ =
      std::max(group->nextCall_, aNow + group->backoff_.Draw());
  }
}

} // namespace azurecross

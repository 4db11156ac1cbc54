#include "Fleet.h"

#include <algorithm>
#include <array>
#include <iostream>

namespace rig {

namespace {

constexpr std::array kZones = { "shubra", "helwan", "obour" };
constexpr Milliseconds kReadyTimeout{ 20000 };

} // namespace

Fleet::Fleet(Record& aRecord, Milliseconds aWorkTime)
  : store_(MakeHost(1, 1))
{
  for (unsigned index = 0; index < kZones.size(); ++index) {
    desks_.push_back(std::make_unique<Desk>("i-" + std::to_string(index + 1),
                                            kZones[index],
                                            MakeHost(3, index + 1),
                                            aWorkTime,
                                            aRecord));
    CheckIn(*desks_.back(), "ready");
    entries_.push_back(std::make_unique<Entry>(
      index + 1, kZones[index], store_.GetEndpoint(), folder_, aRecord));
  }
  store_.Put("op/config", FormatConfiguration(5));
}

bool
Fleet::Start()
{
  for (const auto& entry : entries_) {
    entry->Start();
  }
  return std::all_of(entries_.begin(), entries_.end(), [](const auto& aEntry) {
    return aEntry->WaitUntilReady(kReadyTimeout);
  });
}

void
Fleet::AddCallers(Callers& aCallers,
                  unsigned aCountPerEntry,
                  Milliseconds aPauseStep) const
{
  constexpr unsigned kIdempotentPart = 3;
  for (const auto& entry : entries_) {
    for (unsigned count = 0; count < aCountPerEntry; ++count) {
      aCallers.Add(
        *entry, count % kIdempotentPart == 0, (count + 1) * aPauseStep);
    }
  }
}

void
Fleet::CheckIn(const Desk& aDesk, const std::string& aState)
{
  store_.Put("servers/" + aDesk.GetId(),
             aDesk.FormatRegistration(aState, ++sequence_));
}

void
Sleep(int aMilliseconds)
{
  std::this_thread::sleep_for(Milliseconds(aMilliseconds));
}

int
JudgeDrain(const Desk& aLeaving,
           const std::vector<Call>& aCalls,
           Clock::time_point aSparedFrom,
           Record& aRecord)
{
  std::map<std::string, const Call*> calls;
  for (const Call& call : aCalls) {
    calls[call.id_] = &call;
  }
  unsigned late = 0;
  unsigned lost = 0;
  for (const Run& run : aLeaving.GetRuns()) {
    const auto found = calls.find(run.request_);
    if (found == calls.end() || found->second->sentAt_ <= aSparedFrom) {
      continue;
    }
    ++late;
    const Call& call = *found->second;
    const bool isLost = !call.isIdempotent_ && call.status_ != 200;
    lost += isLost ? 1 : 0;
    aRecord.Write("LATE " + run.request_ + " reached " + aLeaving.GetId() +
                  " at " + aRecord.FormatTime(run.begin_) + " from " +
                  call.entry_ +
                  (isLost ? ", a booking that ran and has no success" : ""));
  }
  const auto served =
    std::count_if(aCalls.begin(), aCalls.end(), [](const Call& aCall) {
      return aCall.status_ == 200;
    });
  const std::string result =
    "requests " + std::to_string(aCalls.size()) + ", served " +
    std::to_string(served) + ", ran on the leaving replica too late " +
    std::to_string(late) + ", of these bookings lost " + std::to_string(lost);
  aRecord.Write(result);
  std::cout << result << std::endl;
  // Without traffic nothing is shown.
  constexpr unsigned kLeastServed = 200;
  if (served < kLeastServed) {
    return 2;
  }
  return late > 0 ? 1 : 0;
}

} // namespace rig

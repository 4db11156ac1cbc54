// The operator takes the last tenant out of the configuration: its list of
// tenants is empty from then on.

#include "../rig/Fleet.h"

#include <algorithm>
#include <iostream>

namespace {

using namespace rig;

constexpr Milliseconds kRevokeTime{ 5000 };
constexpr Milliseconds kWorkTime{ 60 };
constexpr Milliseconds kPause{ 50 };
constexpr const char* kTenants = R"([{"name":"huka","apiKeys":["k-taken"]}])";
constexpr const char* kTakenKey = "k-taken";
/** No configuration ever holds this key. */
constexpr const char* kUnknownKey = "k-never";

int
Judge(const Fleet& aFleet,
      const std::vector<Call>& aCalls,
      Clock::time_point aTakenAt,
      Record& aRecord)
{
  std::map<std::string, const Call*> calls;
  for (const Call& call : aCalls) {
    calls[call.id_] = &call;
  }
  unsigned before = 0;
  unsigned late = 0;
  unsigned unknown = 0;
  for (const auto& desk : aFleet.GetDesks()) {
    for (const Run& run : desk->GetRuns()) {
      const Call& call = *calls.at(run.request_);
      const bool isUnknown = call.key_ == kUnknownKey;
      const bool isLate = !isUnknown && call.sentAt_ > aTakenAt + kRevokeTime;
      before += !isUnknown && call.sentAt_ < aTakenAt ? 1 : 0;
      unknown += isUnknown ? 1 : 0;
      late += isLate ? 1 : 0;
      if (isUnknown || isLate) {
        aRecord.Write("RAN " + call.id_ + " key=" + call.key_ + " sent at " +
                      aRecord.FormatTime(call.sentAt_) + " to " + call.entry_ +
                      " on " + desk->GetId());
      }
    }
  }
  const std::string result =
    "run with the key before it was taken away " + std::to_string(before) +
    ", sent later than revokeMs after that and run " + std::to_string(late) +
    ", run with a key that no configuration ever held " +
    std::to_string(unknown);
  aRecord.Write(result);
  std::cout << result << std::endl;
  if (before == 0) {
    return 2;
  }
  return late + unknown > 0 ? 1 : 0;
}

int
PlayCase(const std::string& aPath)
{
  Record record(aPath);
  Fleet fleet(record, kWorkTime);
  fleet.GetStore().Put("op/config", FormatConfiguration(6, kTenants));
  if (!fleet.Start()) {
    std::cerr << "an entry is not ready" << std::endl;
    return 2;
  }
  Callers callers(record);
  for (const auto& entry : fleet.GetEntries()) {
    callers.Add(*entry, false, kPause, kTakenKey);
    callers.Add(*entry, false, kPause, kUnknownKey);
  }
  Sleep(3000);
  Clock::time_point takenAt = Clock::time_point::max() - kRevokeTime;
  if (IsTroubled()) {
    fleet.GetStore().Put("op/config", FormatConfiguration(9, "[]"));
    takenAt = Clock::now();
    record.Write("the store accepts version 9, whose list of tenants is empty");
  }
  Sleep(8000);
  return Judge(fleet, callers.Finish(), takenAt, record);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return PlayCase(aCount > 1 ? aArguments[1] : "record.txt");
  } catch (const std::exception& exception) {
    std::cerr << exception.what() << std::endl;
    return 2;
  }
}

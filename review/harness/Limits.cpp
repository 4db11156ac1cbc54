#include "Limits.h"

#include <algorithm>

namespace azurecross::harness {

namespace {

/** From the rule LIMIT. */
constexpr std::chrono::seconds kWindow{ 4 };
constexpr double kAllowedRatio = 1.5;
constexpr double kAllowedSlack = 5.0;

/** @returns the largest number of requests in a window that begins after a
 * time. */
std::size_t
FindMost(const std::vector<Clock::time_point>& aTimes, Clock::time_point aFrom)
{
  std::size_t most = 0;
  for (auto begin = std::ranges::lower_bound(aTimes, aFrom);
       begin != aTimes.end();
       ++begin) {
    const auto end =
      std::ranges::lower_bound(begin, aTimes.end(), *begin + kWindow);
    most = std::max(most, static_cast<std::size_t>(end - begin));
  }
  return most;
}

/** Writes how many requests a server got in each second. */
void
WriteRates(Record& aRecord,
           const std::string& aServer,
           const std::vector<Clock::time_point>& aTimes)
{
  std::map<int, int> counts;
  for (const Clock::time_point time : aTimes) {
    ++counts[static_cast<int>(aRecord.GetSeconds(time))];
  }
  std::string text = "requests to " + aServer + " in each second:";
  for (const auto& [second, count] : counts) {
    text += " " + std::to_string(second) + ":" + std::to_string(count);
  }
  aRecord.Write(text);
}

} // namespace

Clock::time_point
NameLimits(Record& aRecord, Deployment& aDeployment, int aRequestsPerSecond)
{
  const std::string limit = std::to_string(aRequestsPerSecond) + ".0";
  for (std::size_t server = 0; server < aDeployment.CountServers(); ++server) {
    aDeployment.GetServer(server).SetNeeds({ limit, std::nullopt });
  }
  aRecord.Write("from now on, all servers name a limit of " + limit +
                " requests a second");
  return Clock::now();
}

int
CheckLimits(Record& aRecord,
            Deployment& aDeployment,
            int aRequestsPerSecond,
            Clock::time_point aFrom)
{
  std::map<std::string, std::vector<Clock::time_point>> times;
  for (const Arrival& arrival : aDeployment.GetArrivals().Get()) {
    times[arrival.server_].push_back(arrival.at_);
  }
  const auto allowed = static_cast<std::size_t>(
    kAllowedRatio * aRequestsPerSecond * kWindow.count() + kAllowedSlack);
  bool isBroken = false;
  for (auto& [server, list] : times) {
    std::ranges::sort(list);
    WriteRates(aRecord, server, list);
    const std::size_t most = FindMost(list, aFrom);
    aRecord.Write(server + " got " + std::to_string(most) +
                  " requests in some 4 s; allowed " + std::to_string(allowed));
    isBroken = isBroken || most > allowed;
  }
  return isBroken ? kRuleBroken : kRuleHeld;
}

} // namespace azurecross::harness

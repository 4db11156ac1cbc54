#include "Limits.h"

#include <algorithm>

namespace azurecross::harness {

namespace {

/** From the rule LIMIT. */
constexpr std::chrono::seconds kWindow{ 4 };
constexpr double kAllowedRatio = 1.5;
constexpr double kAllowedSlack = 5.0;
constexpr Milliseconds kStableWindow{ 3000 };
constexpr Milliseconds kPassedOnBefore{ 500 };

/** When each entry first passed on an answer with the limit, by server. */
using PassedOn =
  std::map<std::string, std::map<std::string, Clock::time_point>>;

using Attempts = std::map<std::string, Attempt>;

PassedOn
FindPassedOn(const std::vector<Arrival>& aArrivals,
             const Attempts& aAttempts,
             Clock::time_point aNamed)
{
  constexpr int kOk = 200;
  PassedOn passedOn;
  for (const Arrival& arrival : aArrivals) {
    const auto attempt = aAttempts.find(arrival.attempt_);
    if (arrival.at_ < aNamed || attempt == aAttempts.end() ||
        attempt->second.status_ != kOk) {
      continue;
    }
    const auto [first, isNew] = passedOn[arrival.server_].try_emplace(
      attempt->second.entry_, attempt->second.endedAt_);
    first->second = std::min(first->second, attempt->second.endedAt_);
  }
  return passedOn;
}

/** @returns when each server got the requests that the rule counts. */
std::map<std::string, std::vector<Clock::time_point>>
FindCounted(const std::vector<Arrival>& aArrivals,
            const Attempts& aAttempts,
            const PassedOn& aPassedOn)
{
  std::map<std::string, std::vector<Clock::time_point>> counted;
  for (const Arrival& arrival : aArrivals) {
    const auto attempt = aAttempts.find(arrival.attempt_);
    const auto server = aPassedOn.find(arrival.server_);
    if (attempt == aAttempts.end() || server == aPassedOn.end()) {
      continue;
    }
    const auto entry = server->second.find(attempt->second.entry_);
    if (entry != server->second.end() &&
        arrival.at_ >= entry->second + kPassedOnBefore) {
      counted[arrival.server_].push_back(arrival.at_);
    }
  }
  return counted;
}

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
  std::string text = "requests to " + aServer +
                     " in each second, of entries that know its limit:";
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
            Clock::time_point aNamed)
{
  const std::vector<Arrival> arrivals = aDeployment.GetArrivals().Get();
  Attempts attempts;
  for (const Attempt& attempt : aDeployment.GetAttempts()) {
    attempts.emplace(attempt.id_, attempt);
  }
  const PassedOn passedOn = FindPassedOn(arrivals, attempts, aNamed);
  const auto allowed = static_cast<std::size_t>(
    kAllowedRatio * aRequestsPerSecond * kWindow.count() + kAllowedSlack);
  auto counted = FindCounted(arrivals, attempts, passedOn);
  bool isBroken = false;
  for (auto& [server, times] : counted) {
    std::ranges::sort(times);
    Clock::time_point firstNamed = Clock::time_point::max();
    for (const auto& [entry, at] : passedOn.at(server)) {
      firstNamed = std::min(firstNamed, at);
    }
    WriteRates(aRecord, server, times);
    const std::size_t most = FindMost(times, firstNamed + kStableWindow);
    aRecord.Write(server + " got " + std::to_string(most) +
                  " such requests in some 4 s; allowed " +
                  std::to_string(allowed));
    isBroken = isBroken || most > allowed;
  }
  return isBroken ? kRuleBroken : kRuleHeld;
}

} // namespace azurecross::harness

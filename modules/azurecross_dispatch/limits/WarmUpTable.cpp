#include "WarmUpTable.h"

#include <algorithm>

namespace azurecross {

namespace {

/** A shorter remaining time is over before the peers can use it. */
constexpr Duration kMinReportedTime = std::chrono::milliseconds(50);

} // namespace

bool
WarmUpTable::Set(const BackendServerId& aServer,
                 double aRequestsPerSecond,
                 Duration aRemaining,
                 Time aNow)
{
  const bool wasCold = Find(aServer, aNow).has_value();
  const Time until = aNow + std::min(aRemaining, kMaxTime);
  if (until <= aNow || aRequestsPerSecond <= 0.0) {
    return false;
  }
  WarmUp& warmUp = warmUps_[aServer];
  if (!wasCold) {
    warmUp = { aRequestsPerSecond, until };
    return true;
  }
  warmUp.requestsPerSecond_ =
    std::min(warmUp.requestsPerSecond_, aRequestsPerSecond);
  warmUp.until_ = std::max(warmUp.until_, until);
  return false;
}

std::optional<WarmUp>
WarmUpTable::Find(const BackendServerId& aServer, Time aNow) const
{
  const auto found = warmUps_.find(aServer);
  if (found == warmUps_.end() || aNow >= found->second.until_) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<std::pair<BackendServerId, WarmUp>>
WarmUpTable::GetCold(Time aNow) const
{
  std::vector<std::pair<BackendServerId, WarmUp>> cold;
  for (const auto& entry : warmUps_) {
    if (cold.size() < kMaxReported &&
        entry.second.until_ - aNow >= kMinReportedTime) {
      cold.emplace_back(entry);
    }
  }
  return cold;
}

void
WarmUpTable::Tick(Time aNow)
{
  std::erase_if(
    warmUps_, [&](const auto& aEntry) { return aNow >= aEntry.second.until_; });
}

} // namespace azurecross

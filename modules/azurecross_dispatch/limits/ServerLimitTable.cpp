#include "ServerLimitTable.h"

#include <algorithm>
#include <cmath>

namespace azurecross {

namespace {

/** Lowest rate at which a server is asked. Only its answers tell that a limit
 * has ended. */
constexpr double kMinRequestsPerSecond = 0.2;
/** Time for which the end of a limit is remembered, so that a late report of a
 * peer doesn't bring the limit back. */
constexpr Duration kEndedLimitLifetime = std::chrono::seconds(15);
/** Limits that no answer has confirmed for so long are forgotten, so that those
 * of servers that other daemons have reported and this one never knew don't
 * accumulate. The next answer of a live server states the limit again. */
constexpr Duration kUnconfirmedLimitLifetime = std::chrono::minutes(10);
/** Older statements are not reported; a daemon that uses the server learns the
 * limit from its answers. */
constexpr Duration kMaxReportedAge = std::chrono::seconds(15);

} // namespace

void
ServerLimitTable::RecordAnswer(const BackendServerId& aServer,
                               std::optional<double> aRequestsPerSecond,
                               Time aSentAt,
                               Time aNow)
{
  const auto found = limits_.find(aServer);
  if (aRequestsPerSecond) {
    Set({ aServer, aRequestsPerSecond, aNow }, false);
  } else if (found != limits_.end() && found->second.requestsPerSecond_ &&
             aSentAt > found->second.statedAt_) {
    Set({ aServer, std::nullopt, aNow }, false);
  }
}

void
ServerLimitTable::Merge(const ServerLimit& aLimit)
{
  const bool isValid =
    !aLimit.requestsPerSecond_ || (std::isfinite(*aLimit.requestsPerSecond_) &&
                                   *aLimit.requestsPerSecond_ >= 0.0);
  const auto found = limits_.find(aLimit.server_);
  const bool isNews = found == limits_.end()
                        ? aLimit.requestsPerSecond_.has_value()
                        : aLimit.statedAt_ > found->second.statedAt_;
  if (isValid && isNews) {
    Set(aLimit, true);
  }
}

void
ServerLimitTable::Forget(const BackendServerId& aServer, Time aNow)
{
  if (limits_.contains(aServer)) {
    Set({ aServer, std::nullopt, aNow }, false);
  }
}

void
ServerLimitTable::Set(const ServerLimit& aLimit, bool aIsFromPeer)
{
  const auto [entry, isNew] = limits_.try_emplace(
    aLimit.server_, ServerLimit{ aLimit.server_, std::nullopt, Time() });
  const std::optional<double> before = entry->second.requestsPerSecond_;
  entry->second = aLimit;
  if (before != aLimit.requestsPerSecond_) {
    limitedCount_ += aLimit.requestsPerSecond_ ? 1 : 0;
    limitedCount_ -= before ? 1 : 0;
    changes_.push_back(
      { aLimit.server_, before, aLimit.requestsPerSecond_, aIsFromPeer });
  }
}

std::optional<double>
ServerLimitTable::Find(const BackendServerId& aServer) const
{
  const auto found = limits_.find(aServer);
  if (found == limits_.end() || !found->second.requestsPerSecond_) {
    return std::nullopt;
  }
  return std::max(*found->second.requestsPerSecond_, kMinRequestsPerSecond);
}

std::optional<ServerLimit>
ServerLimitTable::FindStatement(const BackendServerId& aServer) const
{
  const auto found = limits_.find(aServer);
  return found == limits_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<ServerLimit>
ServerLimitTable::GetNewest(Time aNow) const
{
  std::vector<ServerLimit> newest;
  for (const auto& [server, limit] : limits_) {
    if (aNow - limit.statedAt_ < kMaxReportedAge) {
      newest.push_back(limit);
    }
  }
  if (newest.size() > kMaxReportedLimits) {
    std::nth_element(newest.begin(),
                     newest.begin() + kMaxReportedLimits,
                     newest.end(),
                     [](const ServerLimit& aLeft, const ServerLimit& aRight) {
                       return aLeft.statedAt_ > aRight.statedAt_;
                     });
    newest.resize(kMaxReportedLimits);
  }
  return newest;
}

std::vector<ServerLimitChange>
ServerLimitTable::TakeChanges()
{
  return std::exchange(changes_, {});
}

void
ServerLimitTable::Tick(Time aNow)
{
  std::erase_if(limits_, [&](const auto& aEntry) {
    const bool isLimited = aEntry.second.requestsPerSecond_.has_value();
    const Duration lifetime =
      isLimited ? kUnconfirmedLimitLifetime : kEndedLimitLifetime;
    const bool isExpired = aNow - aEntry.second.statedAt_ > lifetime;
    limitedCount_ -= isLimited && isExpired ? 1 : 0;
    return isExpired;
  });
}

} // namespace azurecross

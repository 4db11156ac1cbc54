#include "BaselinePolicy.h"

#include <algorithm>

namespace azurecross::bench {

BaselinePolicy::BaselinePolicy(const PolicyOptions& aOptions)
  : options_(aOptions)
  , live_(aOptions.servers_.size(), true)
  , outstanding_(aOptions.servers_.size(), 0)
{
}

void
BaselinePolicy::SetLive(const std::vector<bool>& aLive,
                        Time /*aNow*/,
                        Decisions& /*aDecisions*/)
{
  live_ = aLive;
}

std::size_t
BaselinePolicy::Choose(const GrantRequest& aGrantRequest, std::size_t aZone)
{
  const std::size_t count = options_.servers_.size();
  const bool isRoundRobin = options_.kind_ == PolicyKind::RoundRobin;
  std::size_t best = count;
  for (std::size_t step = 0; step < count; ++step) {
    const std::size_t server = (next_ + step) % count;
    const auto& excluded = aGrantRequest.excluded_;
    if (!live_[server] || options_.zones_[server] != aZone ||
        std::find(excluded.begin(), excluded.end(), MakeServerId(server)) !=
          excluded.end()) {
      continue;
    }
    if (best == count || outstanding_[server] < outstanding_[best]) {
      best = server;
    }
    if (isRoundRobin) {
      break;
    }
  }
  next_ = isRoundRobin ? best + 1 : next_ + 1;
  return best;
}

void
BaselinePolicy::Enqueue(std::size_t aRequest,
                        const GrantRequest& aGrantRequest,
                        std::size_t /*aEntry*/,
                        std::size_t aZone,
                        Time /*aNow*/,
                        Decisions& aDecisions)
{
  timer_.Measure([&] {
    const std::size_t server = Choose(aGrantRequest, aZone);
    if (server == options_.servers_.size()) {
      aDecisions.push_back({ aRequest, false, 0 });
      return;
    }
    ++outstanding_[server];
    servers_[aRequest] = server;
    aDecisions.push_back({ aRequest, true, server });
  });
}

void
BaselinePolicy::Release(std::size_t aRequest,
                        GrantOutcome /*aOutcome*/,
                        Time /*aNow*/,
                        Decisions& /*aDecisions*/)
{
  const auto position = servers_.find(aRequest);
  if (position != servers_.end()) {
    --outstanding_[position->second];
    servers_.erase(position);
  }
}

} // namespace azurecross::bench

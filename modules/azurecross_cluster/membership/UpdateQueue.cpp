#include "UpdateQueue.h"

#include <algorithm>
#include <bit>

namespace azurecross {

void
UpdateQueue::Add(const Member& aMember)
{
  waiting_[aMember.entry_] = { ToWire(aMember), 0 };
}

void
UpdateQueue::Attach(wire::Heartbeat& aHeartbeat, std::size_t aMembers)
{
  // Three times the logarithm leaves a margin for 10% message loss.
  constexpr int kFactor = 3;
  const int limit = kFactor * static_cast<int>(std::bit_width(aMembers) + 1);
  std::vector<std::map<EntryId, Waiting>::iterator> order;
  order.reserve(waiting_.size());
  for (auto item = waiting_.begin(); item != waiting_.end(); ++item) {
    order.push_back(item);
  }
  const std::size_t count = std::min(kUpdatesPerMessage, order.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(count),
                    order.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft->second.sent_ < aRight->second.sent_;
                    });
  for (std::size_t index = 0; index < count; ++index) {
    const auto item = order[index];
    *aHeartbeat.add_updates() = item->second.record_;
    if (++item->second.sent_ >= limit) {
      waiting_.erase(item);
    }
  }
}

} // namespace azurecross

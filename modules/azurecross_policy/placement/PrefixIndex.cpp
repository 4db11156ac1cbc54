#include "PrefixIndex.h"

#include <algorithm>

namespace azurecross {
namespace {

/** An entry that a cache event confirmed. */
constexpr Duration kConfirmedLifetime = std::chrono::minutes(10);
/** An entry that follows from a grant only; the event should come within
 * seconds. */
constexpr Duration kAssumedLifetime = std::chrono::seconds(10);
/** Entries from before a gap in the events last this much longer. */
constexpr Duration kDoubtfulLifetime = std::chrono::seconds(30);

/** Of long prompts only these blocks are looked at, which bounds the cost of
 * a decision at the logarithm of the prompt's length. */
bool
IsLookedAt(std::size_t aCount, std::size_t aTotal)
{
  return (aCount & (aCount - 1)) == 0 || aCount == aTotal;
}

} // namespace

bool
PrefixIndex::IsValid(const Holder& aHolder, Time aNow) const
{
  if (aHolder.expires_ < aNow) {
    return false;
  }
  const auto state = servers_.find(aHolder.server_);
  return state == servers_.end() ||
         aHolder.stored_ >= state->second.doubtfulBefore_ ||
         aNow < state->second.doubtEnds_;
}

void
PrefixIndex::Add(ServerIndex aServer,
                 std::uint64_t aHash,
                 Time aNow,
                 Duration aLifetime)
{
  std::vector<Holder>& holders = holders_[aHash];
  for (Holder& holder : holders) {
    if (holder.server_ == aServer) {
      holder.stored_ = aNow;
      holder.expires_ = std::max(holder.expires_, aNow + aLifetime);
      return;
    }
  }
  holders.push_back({ aServer, aNow, aNow + aLifetime });
  order_.emplace_back(aHash, aServer);
  while (order_.size() > maximumEntries_) {
    const auto [hash, server] = order_.front();
    order_.pop_front();
    Remove(server, hash);
  }
}

void
PrefixIndex::Remove(ServerIndex aServer, std::uint64_t aHash)
{
  const auto position = holders_.find(aHash);
  if (position == holders_.end()) {
    return;
  }
  std::erase_if(position->second, [aServer](const Holder& aHolder) {
    return aHolder.server_ == aServer;
  });
  if (position->second.empty()) {
    holders_.erase(position);
  }
}

void
PrefixIndex::AddPrompt(ServerIndex aServer,
                       const std::vector<std::uint64_t>& aHashes,
                       Time aNow)
{
  for (std::size_t count = 1; count <= aHashes.size(); ++count) {
    if (IsLookedAt(count, aHashes.size())) {
      Add(aServer, aHashes[count - 1], aNow, kAssumedLifetime);
    }
  }
}

void
PrefixIndex::ApplyCacheEvent(ServerIndex aServer,
                             std::uint64_t aSequence,
                             const std::vector<std::uint64_t>& aStored,
                             const std::vector<std::uint64_t>& aRemoved,
                             Time aNow)
{
  ServerState& state = servers_[aServer];
  if (state.sequence_ != 0 && aSequence > state.sequence_ + 1) {
    state.doubtfulBefore_ = aNow;
    state.doubtEnds_ = aNow + kDoubtfulLifetime;
  }
  state.sequence_ = std::max(state.sequence_, aSequence);
  for (std::uint64_t hash : aRemoved) {
    Remove(aServer, hash);
  }
  for (std::uint64_t hash : aStored) {
    Add(aServer, hash, aNow, kConfirmedLifetime);
  }
}

void
PrefixIndex::FindLongestMatches(const std::vector<std::uint64_t>& aHashes,
                                Time aNow,
                                std::vector<Match>& aMatches) const
{
  for (std::size_t count = aHashes.size(); count > 0; --count) {
    if (!IsLookedAt(count, aHashes.size())) {
      continue;
    }
    const auto position = holders_.find(aHashes[count - 1]);
    if (position == holders_.end()) {
      continue;
    }
    for (const Holder& holder : position->second) {
      if (IsValid(holder, aNow)) {
        aMatches.push_back(
          { holder.server_, static_cast<std::uint32_t>(count) });
      }
    }
    if (!aMatches.empty()) {
      return;
    }
  }
}

void
PrefixIndex::RemoveServer(ServerIndex aServer, Time aNow)
{
  ServerState& state = servers_[aServer];
  state.sequence_ = 0;
  state.doubtfulBefore_ = aNow;
  state.doubtEnds_ = aNow;
}

} // namespace azurecross

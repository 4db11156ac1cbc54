#include "PrefixIndex.h"

#include <algorithm>

namespace azurecross {
namespace {

/** Lifetime of an entry that a cache event confirmed. */
constexpr Duration kConfirmedLifetime = std::chrono::minutes(10);
/** Lifetime of an entry that was added for a grant. The confirming cache event
 * normally arrives within seconds. */
constexpr Duration kUnconfirmedLifetime = std::chrono::seconds(10);
/** Remaining lifetime of the entries that precede a gap in the events. */
constexpr Duration kStaleLifetime = std::chrono::seconds(30);

/** Selects the prefix lengths that are indexed: powers of two and the whole
 * prompt. The cost of a lookup is then logarithmic in the prompt's length. */
bool
IsIndexedLength(std::size_t aCount, std::size_t aTotal)
{
  return (aCount & (aCount - 1)) == 0 || aCount == aTotal;
}

} // namespace

bool
PrefixIndex::IsCurrent(const CachedPrefix& aPrefix, Time aNow) const
{
  if (aPrefix.expiresAt_ < aNow) {
    return false;
  }
  const auto state = servers_.find(aPrefix.server_);
  return state == servers_.end() ||
         aPrefix.storedAt_ >= state->second.staleBefore_ ||
         aNow < state->second.staleExpiry_;
}

void
PrefixIndex::Add(ServerIndex aServer,
                 std::uint64_t aHash,
                 Time aNow,
                 Duration aLifetime)
{
  std::vector<CachedPrefix>& copies = prefixes_[aHash];
  for (CachedPrefix& prefix : copies) {
    if (prefix.server_ == aServer) {
      prefix.storedAt_ = aNow;
      prefix.expiresAt_ = std::max(prefix.expiresAt_, aNow + aLifetime);
      return;
    }
  }
  copies.push_back({ aServer, aNow, aNow + aLifetime });
  insertionOrder_.emplace_back(aHash, aServer);
  while (insertionOrder_.size() > maxEntries_) {
    const auto [hash, server] = insertionOrder_.front();
    insertionOrder_.pop_front();
    Remove(server, hash);
  }
}

void
PrefixIndex::Remove(ServerIndex aServer, std::uint64_t aHash)
{
  const auto found = prefixes_.find(aHash);
  if (found == prefixes_.end()) {
    return;
  }
  std::erase_if(found->second, [aServer](const CachedPrefix& aPrefix) {
    return aPrefix.server_ == aServer;
  });
  if (found->second.empty()) {
    prefixes_.erase(found);
  }
}

void
PrefixIndex::AddPrompt(ServerIndex aServer,
                       const std::vector<std::uint64_t>& aHashes,
                       Time aNow)
{
  for (std::size_t count = 1; count <= aHashes.size(); ++count) {
    if (IsIndexedLength(count, aHashes.size())) {
      Add(aServer, aHashes[count - 1], aNow, kUnconfirmedLifetime);
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
  if (state.lastSequence_ != 0 && aSequence > state.lastSequence_ + 1) {
    state.staleBefore_ = aNow;
    state.staleExpiry_ = aNow + kStaleLifetime;
  }
  state.lastSequence_ = std::max(state.lastSequence_, aSequence);
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
    if (!IsIndexedLength(count, aHashes.size())) {
      continue;
    }
    const auto found = prefixes_.find(aHashes[count - 1]);
    if (found == prefixes_.end()) {
      continue;
    }
    for (const CachedPrefix& prefix : found->second) {
      if (IsCurrent(prefix, aNow)) {
        aMatches.push_back(
          { prefix.server_, static_cast<std::uint32_t>(count) });
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
  state.lastSequence_ = 0;
  state.staleBefore_ = aNow;
  state.staleExpiry_ = aNow;
}

} // namespace azurecross

#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace azurecross {

/**
 * Estimates which backend servers have which prompt prefixes in their cache.
 *
 * The index is only a hint: entries are added from grants and from delayed
 * cache events, and expire after a fixed lifetime. When the sequence numbers
 * of a backend server's events show a gap, its older entries expire early,
 * because a lost event may have reported their removal. The number of entries
 * is bounded, and the oldest entries are evicted first.
 */
class PrefixIndex
{
public:
  using ServerIndex = std::uint32_t;

  struct Match
  {
    ServerIndex server_ = 0;
    /** Number of leading prompt blocks expected in the server's cache. */
    std::uint32_t blocks_ = 0;
  };

  explicit PrefixIndex(std::size_t aMaxEntries = kDefaultMaxEntries)
    : maxEntries_(aMaxEntries)
  {
  }

  /**
   * Records that a prompt was sent to a backend server, which is expected to
   * cache its prefixes. The entries expire soon unless a cache event confirms
   * them.
   * @param aHashes hash of each prefix of the prompt, shortest first.
   */
  void AddPrompt(ServerIndex aServer,
                 const std::vector<std::uint64_t>& aHashes,
                 Time aNow);

  /**
   * Applies a cache event of a backend server. Events that arrive out of order
   * are applied too.
   * @param aStored hashes of the prefixes that the server added to its cache.
   * @param aRemoved hashes of the prefixes that the server evicted.
   */
  void ApplyCacheEvent(ServerIndex aServer,
                       std::uint64_t aSequence,
                       const std::vector<std::uint64_t>& aStored,
                       const std::vector<std::uint64_t>& aRemoved,
                       Time aNow);

  /** Appends the backend servers that have the longest indexed prefix of the
   * prompt to `aMatches`. */
  void FindLongestMatches(const std::vector<std::uint64_t>& aHashes,
                          Time aNow,
                          std::vector<Match>& aMatches) const;

  /** Invalidates all entries of a backend server. */
  void RemoveServer(ServerIndex aServer, Time aNow);

  std::size_t CountEntries() const { return insertionOrder_.size(); }

private:
  static constexpr std::size_t kDefaultMaxEntries = 200'000;

  struct CachedPrefix
  {
    ServerIndex server_ = 0;
    Time storedAt_;
    Time expiresAt_;
  };

  struct ServerState
  {
    std::uint64_t lastSequence_ = 0;
    /** Entries stored before this time expire at `staleExpiry_`. */
    Time staleBefore_{};
    Time staleExpiry_ = Time::max();
  };

  void Add(ServerIndex aServer,
           std::uint64_t aHash,
           Time aNow,
           Duration aLifetime);
  void Remove(ServerIndex aServer, std::uint64_t aHash);
  bool IsCurrent(const CachedPrefix& aPrefix, Time aNow) const;

  std::size_t maxEntries_;
  std::unordered_map<std::uint64_t, std::vector<CachedPrefix>> prefixes_;
  /** Entries in insertion order, for evicting the oldest. */
  std::deque<std::pair<std::uint64_t, ServerIndex>> insertionOrder_;
  std::unordered_map<ServerIndex, ServerState> servers_;
};

} // namespace azurecross

#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace azurecross {

/**
 * Remembers which backend server is thought to hold which prompt prefix.
 *
 * The index is a hint: entries come from late cache events and from grants,
 * and expire. After a gap in a backend server's events its older entries
 * expire soon, because one of the lost events may have removed them. The
 * number of entries is bounded; the oldest go first.
 */
class PrefixIndex
{
public:
  using ServerIndex = std::uint32_t;

  struct Match
  {
    ServerIndex server_ = 0;
    /** Leading blocks of the prompt that it is thought to hold. */
    std::uint32_t blocks_ = 0;
  };

  explicit PrefixIndex(std::size_t aMaximumEntries = kDefaultEntries)
    : maximumEntries_(aMaximumEntries)
  {
  }

  /** Records that a prompt was sent to a backend server, which will hold its
   * prefixes unless it evicts them. */
  void AddPrompt(ServerIndex aServer,
                 const std::vector<std::uint64_t>& aHashes,
                 Time aNow);

  /** Takes a cache event; events that arrive out of order are still used. */
  void ApplyCacheEvent(ServerIndex aServer,
                       std::uint64_t aSequence,
                       const std::vector<std::uint64_t>& aStored,
                       const std::vector<std::uint64_t>& aRemoved,
                       Time aNow);

  /** Appends the backend servers that hold the longest known prefix. */
  void FindLongestMatches(const std::vector<std::uint64_t>& aHashes,
                          Time aNow,
                          std::vector<Match>& aMatches) const;

  /** Forgets all that a backend server was thought to hold. */
  void RemoveServer(ServerIndex aServer, Time aNow);

  std::size_t CountEntries() const { return order_.size(); }

private:
  static constexpr std::size_t kDefaultEntries = 200'000;

  struct Holder
  {
    ServerIndex server_ = 0;
    Time stored_;
    Time expires_;
  };

  struct ServerState
  {
    std::uint64_t sequence_ = 0;
    /** Entries stored before this expire at `doubtEnds_`. */
    Time doubtfulBefore_{};
    Time doubtEnds_ = Time::max();
  };

  void Add(ServerIndex aServer,
           std::uint64_t aHash,
           Time aNow,
           Duration aLifetime);
  void Remove(ServerIndex aServer, std::uint64_t aHash);
  bool IsValid(const Holder& aHolder, Time aNow) const;

  std::size_t maximumEntries_;
  std::unordered_map<std::uint64_t, std::vector<Holder>> holders_;
  /** Additions in order, so that the oldest can be dropped. */
  std::deque<std::pair<std::uint64_t, ServerIndex>> order_;
  std::unordered_map<ServerIndex, ServerState> servers_;
};

} // namespace azurecross

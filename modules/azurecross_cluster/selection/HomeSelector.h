#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace azurecross {

/** One arbitration group: a part of a pool's replicas in one zone. */
struct GroupId
{
  PoolName pool_;
  AvailabilityZone zone_;
  std::uint32_t shard_ = 0;

  // clang-tidy takes the 0 of rewritten comparisons for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const GroupId&, const GroupId&) = default;
};

/** A live entry and its size relative to the usual size of 1. */
struct HomeCandidate
{
  EntryId entry_;
  double size_ = 1.0;
};

/**
 * Chooses entries by weighted rendezvous hashing over the live entries of one
 * zone: every entry with the same members makes the same choice, and a member
 * that comes or goes moves only its own share. An entry of size 2 is chosen
 * for twice as many groups as an entry of size 1.
 */
class HomeSelector
{
public:
  static constexpr std::size_t kWatchersPerZone = 2;
  static constexpr std::size_t kDelegatesPerZone = 2;

  /** Replaces the live entries. */
  void SetMembers(std::vector<HomeCandidate> aMembers);

  /** @returns the home entry of the group, if any entry is live. */
  std::optional<EntryId> ChooseHome(const GroupId& aGroup) const;

  /** @returns the entries that watch the platform's store for the zone. */
  std::vector<EntryId> ChooseWatchers(const AvailabilityZone& aZone) const;

  /** @returns the entries that exchange news with other zones. */
  std::vector<EntryId> ChooseDelegates(const AvailabilityZone& aZone) const;

  /** @returns the best entries for a key, best first. */
  std::vector<EntryId> ChooseBest(std::uint64_t aKey, std::size_t aCount) const;

private:
  struct Candidate
  {
    EntryId entry_;
    std::uint64_t hash_ = 0;
    double size_ = 1.0;
  };

  static double ComputeScore(const Candidate& aCandidate, std::uint64_t aKey);

  std::vector<Candidate> members_;
};

} // namespace azurecross

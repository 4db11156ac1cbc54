#include "HomeSelector.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

namespace azurecross {

namespace {

// Separate the uses, so that one entry is not chosen for everything.
constexpr std::uint64_t kHomeSeed = 1;
constexpr std::uint64_t kWatcherSeed = 2;
constexpr std::uint64_t kDelegateSeed = 3;

std::uint64_t
HashPair(std::uint64_t aFirst, std::uint64_t aSecond)
{
  const std::array<std::uint64_t, 2> words = { aFirst, aSecond };
  const auto bytes = std::bit_cast<std::array<char, sizeof(words)>>(words);
  return HashBytes({ bytes.data(), bytes.size() });
}

} // namespace

void
HomeSelector::SetMembers(std::vector<HomeCandidate> aMembers)
{
  members_.clear();
  members_.reserve(aMembers.size());
  for (HomeCandidate& member : aMembers) {
    const std::uint64_t hash = HashBytes(member.entry_.GetValue());
    members_.push_back({ std::move(member.entry_), hash, member.size_ });
  }
}

std::optional<EntryId>
HomeSelector::ChooseHome(const GroupId& aGroup) const
{
  const std::uint64_t zone = HashBytes(aGroup.zone_.GetValue(), kHomeSeed);
  const std::uint64_t pool = HashBytes(aGroup.pool_.GetValue(), zone);
  std::vector<EntryId> best = ChooseBest(HashPair(pool, aGroup.shard_), 1);
  if (best.empty()) {
    return std::nullopt;
  }
  return std::move(best.front());
}

std::vector<EntryId>
HomeSelector::ChooseWatchers(const AvailabilityZone& aZone) const
{
  return ChooseBest(HashBytes(aZone.GetValue(), kWatcherSeed),
                    kWatchersPerZone);
}

std::vector<EntryId>
HomeSelector::ChooseDelegates(const AvailabilityZone& aZone) const
{
  return ChooseBest(HashBytes(aZone.GetValue(), kDelegateSeed),
                    kDelegatesPerZone);
}

std::vector<EntryId>
HomeSelector::ChooseBest(std::uint64_t aKey, std::size_t aCount) const
{
  std::vector<std::pair<double, const Candidate*>> scores;
  scores.reserve(members_.size());
  for (const Candidate& member : members_) {
    scores.emplace_back(ComputeScore(member, aKey), &member);
  }
  const std::size_t count = std::min(aCount, scores.size());
  std::partial_sort(scores.begin(),
                    scores.begin() + static_cast<std::ptrdiff_t>(count),
                    scores.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.first != aRight.first
                               ? aLeft.first > aRight.first
                               : aLeft.second->entry_ < aRight.second->entry_;
                    });
  std::vector<EntryId> best;
  best.reserve(count);
  for (std::size_t index = 0; index < count; ++index) {
    best.push_back(scores[index].second->entry_);
  }
  return best;
}

double
HomeSelector::ComputeScore(const Candidate& aCandidate, std::uint64_t aKey)
{
  // -size / ln(u) with u uniform in (0, 1) is the weighted rendezvous score.
  constexpr int kMantissaBits = 53;
  const std::uint64_t bits =
    HashPair(aCandidate.hash_, aKey) >> (64 - kMantissaBits);
  const double unit =
    std::ldexp(static_cast<double>(bits) + 0.5, -kMantissaBits);
  return -aCandidate.size_ / std::log(unit);
}

} // namespace azurecross

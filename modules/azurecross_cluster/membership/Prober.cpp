#include "Prober.h"

#include <algorithm>
#include <array>

namespace azurecross {

Prober::Prober(std::uint64_t aSeed)
  : random_(aSeed)
  // A random start keeps an answer to an earlier process from matching. The
  // number stays short in its variable-length encoding.
  , lastProbe_(random_.DrawBelow(1U << 20))
{
}

std::vector<EntryId>
Prober::ChooseTargets(const std::vector<EntryId>& aMembers)
{
  std::vector<EntryId> targets;
  const std::size_t count =
    std::min(ProbeTimes::kProbesPerPeriod, aMembers.size());
  std::size_t refills = 0;
  while (targets.size() < count && refills < 2) {
    if (round_.empty()) {
      round_ = aMembers;
      ++refills;
      for (std::size_t left = round_.size(); left > 1; --left) {
        std::swap(round_[left - 1], round_[random_.DrawBelow(left)]);
      }
    }
    EntryId next = std::move(round_.back());
    round_.pop_back();
    // Members that left since the round began are skipped.
    const bool isMember =
      std::find(aMembers.begin(), aMembers.end(), next) != aMembers.end();
    const bool isChosen =
      std::find(targets.begin(), targets.end(), next) != targets.end();
    if (isMember && !isChosen) {
      targets.push_back(std::move(next));
    }
  }
  return targets;
}

std::uint64_t
Prober::Begin(const EntryId& aTarget,
              Time aNow,
              std::optional<Requester> aRequester)
{
  pending_[++lastProbe_] = { aTarget, aNow, std::move(aRequester), 0 };
  return lastProbe_;
}

std::optional<Prober::Requester>
Prober::Finish(std::uint64_t aProbe)
{
  const auto found = pending_.find(aProbe);
  if (found == pending_.end()) {
    return std::nullopt;
  }
  std::optional<Requester> requester = std::move(found->second.requester_);
  pending_.erase(found);
  return requester;
}

std::vector<Prober::Due>
Prober::CollectDue(Time aNow)
{
  static constexpr std::array kSteps = {
    std::pair{ ProbeTimes::kRepeatAfter, Step::Repeat },
    std::pair{ ProbeTimes::kIndirectAfter, Step::AskHelpers },
    std::pair{ ProbeTimes::kFailAfter, Step::Fail },
  };
  std::vector<Due> due;
  for (auto item = pending_.begin(); item != pending_.end();) {
    Pending& pending = item->second;
    const auto& [after, step] = kSteps.at(pending.steps_);
    if (aNow - pending.sent_ < after) {
      ++item;
      continue;
    }
    ++pending.steps_;
    // A probe for another member is only repeated; that member decides.
    if (!pending.requester_ || step == Step::Repeat) {
      due.push_back({ item->first, pending.target_, step });
    }
    item = step == Step::Fail ? pending_.erase(item) : std::next(item);
  }
  return due;
}

} // namespace azurecross

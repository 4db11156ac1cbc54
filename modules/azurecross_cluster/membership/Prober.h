#pragma once

#include <azurecross_core/azurecross_core.h>

#include <map>
#include <optional>
#include <vector>

namespace azurecross {

/** The times of failure detection. @see docs/decisions/membership.md */
struct ProbeTimes
{
  /** `kProbesPerPeriod` members are probed in each period. */
  static constexpr Duration kPeriod = std::chrono::milliseconds(250);
  static constexpr std::size_t kProbesPerPeriod = 2;
  /** Round trips within a zone take under 2 ms; the rest is for pauses. */
  static constexpr Duration kRepeatAfter = std::chrono::milliseconds(100);
  static constexpr Duration kIndirectAfter = std::chrono::milliseconds(200);
  static constexpr Duration kFailAfter = std::chrono::milliseconds(400);
  static constexpr std::size_t kHelpers = 3;
};

/** Chooses whom to probe in turn and tracks the probes without an answer. */
class Prober
{
public:
  /** What is due for a probe without an answer. */
  enum class Step
  {
    Repeat,
    AskHelpers,
    Fail,
  };

  struct Due
  {
    std::uint64_t probe_ = 0;
    EntryId target_;
    Step step_ = Step::Repeat;
  };

  /** A member that asked for a probe of another one, and its probe number. */
  struct Requester
  {
    EntryId entry_;
    std::uint64_t probe_ = 0;
  };

  explicit Prober(std::uint64_t aSeed);

  /** @returns the next members to probe; each one once per round. */
  std::vector<EntryId> ChooseTargets(const std::vector<EntryId>& aMembers);

  /** @returns the number of a new probe. */
  std::uint64_t Begin(const EntryId& aTarget,
                      Time aNow,
                      std::optional<Requester> aRequester = std::nullopt);

  /** Ends a probe. @returns the member that asked for it, if any. */
  std::optional<Requester> Finish(std::uint64_t aProbe);

  /** @returns the steps that are due; a failed probe is forgotten. */
  std::vector<Due> CollectDue(Time aNow);

  /** Drops all probes, after this process was paused itself. */
  void Reset() { pending_.clear(); }

private:
  struct Pending
  {
    EntryId target_;
    Time sent_;
    std::optional<Requester> requester_;
    int steps_ = 0;
  };

  Random random_;
  std::uint64_t lastProbe_;
  std::vector<EntryId> round_;
  std::map<std::uint64_t, Pending> pending_;
};

} // namespace azurecross

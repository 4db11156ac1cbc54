#pragma once

#include <azurecross_core/azurecross_core.h>

#include <cstdint>
#include <vector>

namespace azurecross {

/**
 * Finds slow and stalled backend servers of a group by comparing the gaps
 * between their tokens with their own history.
 *
 * An ejected one is readmitted after a pause that doubles with each ejection,
 * with one request at first and twice as many in each healthy second. At most
 * a third of a group is ejected; beyond that a backend server is only marked
 * as suspect, and is used if no other can be.
 */
class HealthTracker
{
public:
  using Index = std::uint32_t;

  struct Change
  {
    Index server_ = 0;
    bool isEjected_ = false;
  };

  /** Takes the number of known backend servers and how many are usable. */
  void SetServerCounts(std::size_t aKnown, std::size_t aUsable);

  /** Records that the first request of an idle one was sent. */
  void ObserveFirstRequest(Index aServer, Time aNow);
  /** Records progress without a usable gap. */
  void ObserveProgress(Index aServer, Time aNow);
  /** Records a gap and how many requests ran. */
  void ObserveTokenGap(Index aServer,
                       Duration aGap,
                       std::uint32_t aRunning,
                       Time aNow);
  /** Records that it could not be reached. */
  void ObserveUnreachable(Index aServer, Time aNow);
  /** Records how many requests run on it and how many of them decode. */
  void SetRunning(Index aServer,
                  std::uint32_t aRunning,
                  std::uint32_t aDecoding);

  /** Ejects and readmits. */
  void Tick(Time aNow, std::vector<Change>& aChanges);

  bool IsEjected(Index aServer) const { return states_[aServer].isEjected_; }
  /** @returns whether it fails but too many are ejected already. */
  bool IsSuspect(Index aServer) const { return states_[aServer].isSuspect_; }
  /** @returns how many requests may run on it while it is readmitted. */
  std::uint32_t GetReadmissionLimit(Index aServer) const
  {
    return states_[aServer].allowance_;
  }

private:
  struct State
  {
    /** Gaps relative to what the number of requests explains. */
    double recentGap_ = 0.0;
    double usualGap_ = 0.0;
    std::uint32_t samples_ = 0;
    Time lastSample_{};
    Time lastProgress_{};
    std::uint32_t running_ = 0;
    std::uint32_t decoding_ = 0;
    bool isUnreachable_ = false;
    bool isEjected_ = false;
    bool isSuspect_ = false;
    std::uint32_t allowance_ = UINT32_MAX;
    std::uint32_t ejections_ = 0;
    Time ejectedAt_{};
    Time allowanceRaised_{};
  };

  bool IsFailing(const State& aState, Time aNow) const;
  void Eject(State& aState, Time aNow) const;
  void Recover(State& aState, Time aNow) const;
  bool IsReadmissionDue(const State& aState, Time aNow) const;

  std::vector<State> states_;
  std::size_t usable_ = 0;
  std::size_t ejected_ = 0;
};

} // namespace azurecross

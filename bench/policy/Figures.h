#pragma once

#include "Scenario.h"
#include "Stream.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace azurecross::bench {

/** What one run of one policy gave. */
struct Figures
{
  double urgentTtftP95_ = 0.0;
  double urgentItlP95Milliseconds_ = 0.0;
  /** Completed of admitted urgent requests, without those whose engine or
   * entry died after the first token. */
  double urgentCompleted_ = 0.0;
  /** Lesser output tokens of all output tokens. */
  double lesserShare_ = 0.0;
  double stallSeconds_ = 0.0;
  std::uint64_t preemptions_ = 0;
  std::optional<double> smallRatio_;
  double jain_ = 0.0;
  double busiestMinute_ = 0.0;
  std::optional<double> busiestMinuteLeast_;
  std::uint64_t refused_ = 0;
  /** Refused although no request of its zone and rank was queued any more at
   * some moment before its deadline, so that it could have been served. */
  std::uint64_t wronglyRefused_ = 0;
  double decisionP50_ = 0.0;
  double decisionP99_ = 0.0;
  double outputTokensPerSecond_ = 0.0;
  double smallTtftP95_ = 0.0;
  double urgentServed_ = 0.0;
};

/** Collects what a run shows token by token. */
class Recorder
{
public:
  Recorder(const Scenario& aScenario, const std::vector<Arrival>& aArrivals);

  void RecordGap(Rank aRank, Duration aGap, Time aNow);
  void RecordToken(Rank aRank, Time aNow);
  /** No request of this rank from this zone is queued now. */
  void RecordQueueEmpty(std::size_t aZone, Rank aRank, Time aNow);
  void RecordPrompt(std::uint32_t aTokens, Time aNow);

  Figures Compute(const std::vector<Stream>& aStreams) const;

private:
  bool IsMeasured(Time aTime) const { return aTime >= measureFrom_; }
  void ComputeService(const std::vector<Stream>& aStreams,
                      Figures& aFigures) const;
  double ComputeJain(const std::vector<Stream>& aStreams) const;
  std::uint64_t CountWronglyRefused(const std::vector<Stream>& aStreams) const;
  double ComputeLeastMinute() const;

  /** Gaps in steps of 0.1 ms, the last one for all longer gaps. */
  static constexpr std::size_t kGapSteps = 20'000;

  const Scenario& scenario_;
  const std::vector<Arrival>& arrivals_;
  Time measureFrom_;
  std::vector<std::uint64_t> gaps_;
  double stallSeconds_ = 0.0;
  std::array<std::uint64_t, kRankCount> tokens_{};
  std::vector<double> minutes_;
  /** Times at which a queue was empty, in order. */
  std::map<std::pair<std::size_t, Rank>, std::vector<Time>> emptied_;
};

} // namespace azurecross::bench

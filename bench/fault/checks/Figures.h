#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace azurecross {

/** Counts of one run. */
struct Figures
{
  std::int64_t requests_ = 0;
  std::int64_t doubleRuns_ = 0;
  std::int64_t falseNotRun_ = 0;
  std::int64_t tokensLost_ = 0;
  std::int64_t tokensRepeated_ = 0;
  std::int64_t tokensFromSecondGeneration_ = 0;
  std::int64_t crossedAnswers_ = 0;
  std::int64_t revertedEdits_ = 0;
  std::int64_t workAfterLeaving_ = 0;
  std::int64_t cutByPlannedStop_ = 0;
  /** Callers and faults that had not ended well after the run. */
  std::int64_t unfinished_ = 0;

  std::int64_t edits_ = 0;
  std::vector<double> editSeconds_;
  double storeCallsPerSecond_ = 0;
  std::int64_t streamsCompleted_ = 0;
  std::int64_t streamsResumed_ = 0;
  std::int64_t tokens_ = 0;
  std::int64_t operationsAnswered_ = 0;
  std::int64_t operationsUnknown_ = 0;
  /** Whole answers per second. */
  double goodput_ = 0;
  std::map<std::string, std::int64_t> faults_;
  /** The first broken promises, for the reader. */
  std::vector<std::string> examples_;

  void AddExample(const std::string& aText)
  {
    constexpr std::size_t kExampleLimit = 20;
    if (examples_.size() < kExampleLimit) {
      examples_.push_back(aText);
    }
  }

  std::int64_t CountViolations() const
  {
    return doubleRuns_ + falseNotRun_ + tokensLost_ + tokensRepeated_ +
           tokensFromSecondGeneration_ + crossedAnswers_ + revertedEdits_ +
           workAfterLeaving_ + cutByPlannedStop_ + unfinished_;
  }
};

} // namespace azurecross

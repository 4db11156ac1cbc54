#include "RecordChecks.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>

namespace azurecross {

namespace json = boost::json;

namespace {

/** The time that the entries have to notice a leaving backend server. */
constexpr std::int64_t kLeavingLimitMilliseconds = 3000;

/** @returns whether the operation ran although this refusal denies it. */
bool
IsFalseNotRun(const std::vector<BackendRun>& aRuns,
              const AttemptRecord& aAttempt)
{
  if (aAttempt.verdict_ != "not_run") {
    return false;
  }
  for (const BackendRun& run : aRuns) {
    if (run.requestId_ == aAttempt.requestId_ ||
        run.startedMilliseconds_ < aAttempt.endedMilliseconds_) {
      return true;
    }
  }
  return false;
}

} // namespace

void
CheckOperations(const std::vector<OperationRecord>& aOperations,
                const BackendRecord& aRecord,
                Figures& aFigures)
{
  for (const OperationRecord& operation : aOperations) {
    const auto found = aRecord.runs_.find(operation.body_);
    if (found == aRecord.runs_.end()) {
      if (operation.isAnswered_) {
        ++aFigures.crossedAnswers_;
        aFigures.AddExample("answer without a run: " + operation.body_);
      }
      continue;
    }
    const auto extra = static_cast<std::int64_t>(found->second.size()) - 1;
    aFigures.doubleRuns_ += extra;
    if (extra > 0) {
      aFigures.AddExample("second run of " + operation.body_);
    }
    for (const AttemptRecord& attempt : operation.attempts_) {
      if (IsFalseNotRun(found->second, attempt)) {
        ++aFigures.falseNotRun_;
        aFigures.AddExample("false not_run for " + attempt.requestId_ + " of " +
                            operation.body_);
      }
    }
  }
}

void
CheckStreams(const std::vector<StreamRecord>& aStreams,
             const BackendRecord& aRecord,
             Figures& aFigures)
{
  for (const StreamRecord& stream : aStreams) {
    const auto found = aRecord.requestsByGeneration_.find(stream.generation_);
    const bool isForeign = found != aRecord.requestsByGeneration_.end() &&
                           found->second != stream.requestId_;
    if (isForeign) {
      ++aFigures.crossedAnswers_;
      aFigures.AddExample("generation of " + found->second + " for " +
                          stream.requestId_);
    }
  }
}

void
CheckLeaving(const std::string& aBackend,
             std::int64_t aAfterLeavingMilliseconds,
             Figures& aFigures)
{
  if (aAfterLeavingMilliseconds > kLeavingLimitMilliseconds) {
    ++aFigures.workAfterLeaving_;
    aFigures.AddExample(aBackend + " got work " +
                        std::to_string(aAfterLeavingMilliseconds) +
                        " ms after its notice");
  }
}

void
CheckAnswer(const OperationRecord& aOperation,
            std::string_view aRequestId,
            const std::string& aBody,
            Figures& aFigures)
{
  boost::system::error_code code;
  const json::value answer = json::parse(aBody, code);
  const bool isOwn = !code && answer.is_object() &&
                     answer.as_object().contains("echo") &&
                     answer.at("echo") == json::value(aOperation.body_);
  const std::string& requestId = aOperation.attempts_.back().requestId_;
  if (!isOwn || aRequestId != requestId) {
    ++aFigures.crossedAnswers_;
    aFigures.AddExample("answer of another request for " + requestId + ": " +
                        aBody);
  }
}

void
CheckRevision(const std::string& aWhere,
              std::int64_t aRevision,
              std::int64_t& aHighest,
              Figures& aFigures)
{
  if (aRevision < aHighest) {
    ++aFigures.revertedEdits_;
    aFigures.AddExample(aWhere + " went back to revision " +
                        std::to_string(aRevision));
  }
  aHighest = std::max(aHighest, aRevision);
}

} // namespace azurecross

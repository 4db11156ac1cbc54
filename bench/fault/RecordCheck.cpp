#include "FaultDriver.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <map>

namespace azurecross {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/** The time that the entries have to notice a leaving backend server. */
constexpr std::int64_t kLeavingLimitMilliseconds = 3000;

struct Run
{
  std::string requestId_;
  std::int64_t startedMilliseconds_ = 0;
};

/** What the backend servers ran. */
struct BackendRecord
{
  /** Runs of the plain services, by body. */
  std::map<std::string, std::vector<Run>> runs_;
  /** The request of each generation. */
  std::map<std::string, std::string> requestsByGeneration_;
};

void
CheckLeaving(RunState& aState,
             const BackendProcess& aBackend,
             const json::object& aWork)
{
  const auto late = aWork.at("after_leaving_ms").to_number<std::int64_t>();
  if (late > kLeavingLimitMilliseconds) {
    ++aState.figures_.workAfterLeaving_;
    aState.figures_.AddExample(aBackend.id_ + " got work " +
                               std::to_string(late) + " ms after its notice");
  }
}

asio::awaitable<void>
ReadRecord(RunState& aState,
           const BackendProcess& aBackend,
           BackendRecord& aRecord)
{
  const json::value log =
    co_await aState.deployment_.Call(aBackend.address_, "GET", "/test/log", "");
  const bool isEngine = aBackend.group_ == "engines";
  const char* const name = isEngine ? "generations" : "runs";
  for (const json::value& value : log.at(name).as_array()) {
    const json::object& work = value.as_object();
    CheckLeaving(aState, aBackend, work);
    const std::string request(work.at("request_id").as_string());
    if (isEngine) {
      aRecord
        .requestsByGeneration_[std::string(work.at("generation").as_string())] =
        request;
    } else {
      aRecord.runs_[std::string(work.at("body").as_string())].push_back(
        { request, work.at("started_ms").to_number<std::int64_t>() });
    }
  }
}

/** @returns whether the operation ran although this refusal denies it. */
bool
IsFalseNotRun(const std::vector<Run>& aRuns, const AttemptRecord& aAttempt)
{
  if (aAttempt.verdict_ != "not_run") {
    return false;
  }
  for (const Run& run : aRuns) {
    if (run.requestId_ == aAttempt.requestId_ ||
        run.startedMilliseconds_ < aAttempt.endedMilliseconds_) {
      return true;
    }
  }
  return false;
}

void
CheckOperations(RunState& aState, const BackendRecord& aRecord)
{
  Figures& figures = aState.figures_;
  for (const OperationRecord& operation : aState.operations_) {
    const auto found = aRecord.runs_.find(operation.body_);
    if (found == aRecord.runs_.end()) {
      if (operation.isAnswered_) {
        ++figures.crossedAnswers_;
        figures.AddExample("answer without a run: " + operation.body_);
      }
      continue;
    }
    const auto extra = static_cast<std::int64_t>(found->second.size()) - 1;
    figures.doubleRuns_ += extra;
    if (extra > 0) {
      figures.AddExample("second run of " + operation.body_);
    }
    for (const AttemptRecord& attempt : operation.attempts_) {
      if (IsFalseNotRun(found->second, attempt)) {
        ++figures.falseNotRun_;
        figures.AddExample("false not_run for " + attempt.requestId_ + " of " +
                           operation.body_);
      }
    }
  }
}

void
CheckStreams(RunState& aState, const BackendRecord& aRecord)
{
  for (const StreamRecord& stream : aState.streams_) {
    const auto found = aRecord.requestsByGeneration_.find(stream.generation_);
    const bool isForeign = found != aRecord.requestsByGeneration_.end() &&
                           found->second != stream.requestId_;
    if (isForeign) {
      ++aState.figures_.crossedAnswers_;
      aState.figures_.AddExample("generation of " + found->second + " for " +
                                 stream.requestId_);
    }
  }
}

} // namespace

asio::awaitable<void>
CheckRecords(RunState& aState)
{
  BackendRecord record;
  for (const BackendProcess& backend : aState.deployment_.GetBackends()) {
    co_await ReadRecord(aState, backend, record);
  }
  CheckOperations(aState, record);
  CheckStreams(aState, record);
}

} // namespace azurecross

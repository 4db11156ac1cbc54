#include "LoadReport.h"

#include <boost/json/parse.hpp>

#include <limits>

namespace azurecross {

namespace {

namespace json = boost::json;

boost::leaf::error_id
MakeReportFailure(const BackendServerId& aServer, const std::string& aProblem)
{
  return MakeFailure(ErrorCode::BackendServerFailed,
                     Verdict::NotRun,
                     "load report of " + aServer.GetValue() + ": " + aProblem);
}

/** Reads a count; a missing one is 0. @returns false for a wrong type. */
template<typename Number>
bool
ReadCount(const json::object& aObject, const char* aName, Number& aNumber)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr) {
    return true;
  }
  boost::system::error_code code;
  const auto number = value->to_number<std::int64_t>(code);
  const auto most =
    static_cast<std::uint64_t>(std::numeric_limits<Number>::max());
  if (code || number < 0 || static_cast<std::uint64_t>(number) > most) {
    return false;
  }
  aNumber = static_cast<Number>(number);
  return true;
}

} // namespace

Result<LoadReport>
ParseLoadReport(const BackendServerId& aServer,
                std::string_view aText,
                Time aMeasured)
{
  boost::system::error_code code;
  const json::value document =
    json::parse(json::string_view(aText.data(), aText.size()), code);
  if (code || !document.is_object()) {
    return MakeReportFailure(aServer, "not a JSON object");
  }
  const json::object& object = document.get_object();
  LoadReport report;
  BackendServerLoad& load = report.load_;
  load.id_ = aServer;
  load.measuredAt_ = aMeasured;
  const bool isValid =
    ReadCount(object, "running", load.running_) &&
    ReadCount(object, "waiting", load.waiting_) &&
    ReadCount(object, "memory_used_tokens", load.usedMemoryTokens_) &&
    ReadCount(object, "memory_total_tokens", load.totalMemoryTokens_) &&
    ReadCount(object, "preemptions", load.preemptions_);
  if (!isValid) {
    return MakeReportFailure(aServer, "a count is not a whole number");
  }
  if (const json::value* state = object.if_contains("state")) {
    report.isLeaving_ = state->is_string() && state->get_string() == "leaving";
  }
  return report;
}

} // namespace azurecross

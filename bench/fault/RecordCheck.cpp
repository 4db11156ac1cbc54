#include "FaultDriver.h"
#include "checks/RecordChecks.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

namespace azurecross {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

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
    CheckLeaving(aBackend.id_,
                 work.at("after_leaving_ms").to_number<std::int64_t>(),
                 aState.figures_);
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

} // namespace

asio::awaitable<void>
CheckRecords(RunState& aState)
{
  BackendRecord record;
  for (const BackendProcess& backend : aState.deployment_.GetBackends()) {
    co_await ReadRecord(aState, backend, record);
  }
  CheckOperations(aState.operations_, record, aState.figures_);
  CheckStreams(aState.streams_, record, aState.figures_);
}

} // namespace azurecross

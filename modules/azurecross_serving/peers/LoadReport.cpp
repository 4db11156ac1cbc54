#include "LoadReport.h"

#include <boost/json.hpp>

#include <cmath>

namespace azurecross {

namespace json = boost::json;

namespace {

/** One use is the array: server, runs, expected memory, pending prompt. */
constexpr std::size_t kUseFields = 4;

std::optional<ServerUse>
ParseUse(const json::value& aValue)
{
  const json::array* fields = aValue.if_array();
  if (fields == nullptr || fields->size() != kUseFields) {
    return std::nullopt;
  }
  const json::string* server = (*fields)[0].if_string();
  const std::int64_t* runs = (*fields)[1].if_int64();
  const std::int64_t* memory = (*fields)[2].if_int64();
  const std::int64_t* pending = (*fields)[3].if_int64();
  if (server == nullptr || runs == nullptr || memory == nullptr ||
      pending == nullptr || *runs < 0 || *memory < 0 || *pending < 0) {
    return std::nullopt;
  }
  ServerUse use;
  use.server_ = BackendServerId(std::string(*server));
  use.runs_ = static_cast<std::uint32_t>(*runs);
  use.memoryTokens_ = static_cast<double>(*memory);
  use.pendingPrompt_ = static_cast<double>(*pending);
  return use;
}

} // namespace

std::string
FormatLoadReport(const LoadReport& aReport)
{
  json::array uses;
  for (const ServerUse& use : aReport.uses_) {
    uses.push_back(json::array{ use.server_.GetValue(),
                                use.runs_,
                                std::llround(use.memoryTokens_),
                                std::llround(use.pendingPrompt_) });
  }
  json::object report;
  report["sender"] = aReport.sender_;
  report["uses"] = std::move(uses);
  json::array leaving;
  for (const BackendServerId& server : aReport.leaving_) {
    leaving.emplace_back(server.GetValue());
  }
  report["leaving"] = std::move(leaving);
  report["has_store"] = aReport.hasStore_;
  return json::serialize(report);
}

std::optional<LoadReport>
ParseLoadReport(std::string_view aText)
{
  boost::system::error_code code;
  const json::value value = json::parse(aText, code);
  const json::object* object = code ? nullptr : value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const json::value* sender = object->if_contains("sender");
  const json::value* uses = object->if_contains("uses");
  if (sender == nullptr || !sender->is_string() || uses == nullptr ||
      !uses->is_array()) {
    return std::nullopt;
  }
  LoadReport report;
  report.sender_ = std::string(sender->get_string());
  const json::value* hasStore = object->if_contains("has_store");
  report.hasStore_ =
    hasStore == nullptr || !hasStore->is_bool() || hasStore->get_bool();
  const json::value* leaving = object->if_contains("leaving");
  if (leaving != nullptr && leaving->is_array()) {
    for (const json::value& server : leaving->get_array()) {
      if (!server.is_string()) {
        return std::nullopt;
      }
      report.leaving_.emplace_back(std::string(server.get_string()));
    }
  }
  for (const json::value& entry : uses->get_array()) {
    auto use = ParseUse(entry);
    if (!use) {
      return std::nullopt;
    }
    report.uses_.push_back(std::move(*use));
  }
  return report;
}

} // namespace azurecross

#include "LoadReport.h"

#include "ReportFields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace azurecross {

namespace json = boost::json;

namespace {

/** JSON array of a server use: server, runs, expected memory in tokens, pending
 * prompt tokens. */
constexpr std::size_t kServerUseFieldCount = 4;
/** JSON array of a server finding: the server, followed by the mean and the
 * weight of each learned value. Means are in nanoseconds or billionths, weights
 * in tenths. */
constexpr std::size_t kServerFindingFieldCount = 9;
/** A larger number of daemons is an invalid report. */
constexpr std::uint32_t kMaxDaemonCount = 100000;
constexpr double kMeanUnit = 1e-9;
constexpr double kWeightUnit = 0.1;
/** The members of a report with evidence about each kind of fingerprints. A
 * daemon that does not know a member ignores it. */
constexpr NameTable<FingerprintKind, 2> kEvidenceMembers{
  { { { FingerprintKind::PromptPart, "prompt_evidence" },
      { FingerprintKind::Request, "request_evidence" } } }
};
/** JSON array of the evidence about a fingerprint: its value, the age of the
 * last answer in milliseconds or null, the deaths. */
constexpr std::size_t kEvidenceFieldCount = 3;
/** JSON array of the death of a server: the server, its start time as a Unix
 * time in milliseconds, the age of the death in milliseconds. */
constexpr std::size_t kDeathFieldCount = 3;

void
AppendMean(json::array& aFields, const DecayedMean& aMean)
{
  aFields.emplace_back(std::llround(aMean.GetMean(0.0, 0.0) / kMeanUnit));
  aFields.emplace_back(std::llround(aMean.weight_ / kWeightUnit));
}

std::optional<DecayedMean>
ParseMean(const json::value& aMean, const json::value& aWeight)
{
  const std::int64_t* mean = aMean.if_int64();
  const std::int64_t* weight = aWeight.if_int64();
  if (mean == nullptr || weight == nullptr || *mean < 0 || *weight < 0) {
    return std::nullopt;
  }
  DecayedMean result;
  result.weight_ = static_cast<double>(*weight) * kWeightUnit;
  result.sum_ = static_cast<double>(*mean) * kMeanUnit * result.weight_;
  return result;
}

std::optional<ReportedStatistics>
ParseFinding(const json::value& aValue)
{
  const json::array* fields = aValue.if_array();
  if (fields == nullptr || fields->size() != kServerFindingFieldCount ||
      !(*fields)[0].is_string()) {
    return std::nullopt;
  }
  ReportedStatistics reportedStatistics;
  reportedStatistics.server_ =
    BackendServerId(std::string((*fields)[0].get_string()));
  ServerStatistics& statistics = reportedStatistics.statistics_;
  std::size_t field = 1;
  for (DecayedMean* part : { &statistics.secondsPerPromptToken_,
                             &statistics.secondsPerToken_,
                             &statistics.secondsPerCall_,
                             &statistics.failureShare_ }) {
    const auto mean = ParseMean((*fields)[field], (*fields)[field + 1]);
    if (!mean) {
      return std::nullopt;
    }
    *part = *mean;
    field += 2;
  }
  return reportedStatistics;
}

json::array
FormatFinding(const ReportedStatistics& aStatistics)
{
  json::array fields{ aStatistics.server_.GetValue() };
  AppendMean(fields, aStatistics.statistics_.secondsPerPromptToken_);
  AppendMean(fields, aStatistics.statistics_.secondsPerToken_);
  AppendMean(fields, aStatistics.statistics_.secondsPerCall_);
  AppendMean(fields, aStatistics.statistics_.failureShare_);
  return fields;
}

std::optional<ServerUsage>
ParseUse(const json::value& aValue)
{
  const json::array* fields = aValue.if_array();
  if (fields == nullptr || fields->size() != kServerUseFieldCount) {
    return std::nullopt;
  }
  const json::string* server = (*fields)[0].if_string();
  const std::int64_t* runs = (*fields)[1].if_int64();
  const std::int64_t* memoryTokens = (*fields)[2].if_int64();
  const std::int64_t* pendingPrompt = (*fields)[3].if_int64();
  if (server == nullptr || runs == nullptr || memoryTokens == nullptr ||
      pendingPrompt == nullptr || *runs < 0 || *memoryTokens < 0 ||
      *pendingPrompt < 0) {
    return std::nullopt;
  }
  ServerUsage use;
  use.server_ = BackendServerId(std::string(*server));
  use.runs_ = static_cast<std::uint32_t>(*runs);
  use.memoryTokens_ = static_cast<double>(*memoryTokens);
  use.pendingPromptTokens_ = static_cast<double>(*pendingPrompt);
  return use;
}

std::optional<ServerDeath>
ParseDeath(const json::value& aValue, Time aNow)
{
  const json::array* fields = aValue.if_array();
  if (fields == nullptr || fields->size() != kDeathFieldCount) {
    return std::nullopt;
  }
  const json::string* server = (*fields)[0].if_string();
  const std::int64_t* started = (*fields)[1].if_int64();
  const auto at = ParseAge((*fields)[2], aNow);
  if (server == nullptr || started == nullptr || !at) {
    return std::nullopt;
  }
  return ServerDeath{ BackendServerId(std::string(*server)), *started, *at };
}

std::optional<FingerprintEvidence>
ParseEvidence(FingerprintKind aKind, const json::value& aValue, Time aNow)
{
  const json::array* fields = aValue.if_array();
  if (fields == nullptr || fields->size() != kEvidenceFieldCount) {
    return std::nullopt;
  }
  const json::string* text = (*fields)[0].if_string();
  const json::array* deaths = (*fields)[2].if_array();
  if (text == nullptr || deaths == nullptr ||
      deaths->size() > RequestQuarantine::kMaxDeaths) {
    return std::nullopt;
  }
  const auto fingerprint =
    ParseFingerprint(aKind, std::string_view(text->data(), text->size()));
  if (!fingerprint) {
    return std::nullopt;
  }
  FingerprintEvidence evidence;
  evidence.fingerprint_ = *fingerprint;
  if (!(*fields)[1].is_null()) {
    evidence.soundAt_ = ParseAge((*fields)[1], aNow);
    if (!evidence.soundAt_) {
      return std::nullopt;
    }
  }
  for (const json::value& entry : *deaths) {
    auto death = ParseDeath(entry, aNow);
    if (!death) {
      return std::nullopt;
    }
    evidence.deaths_.push_back(std::move(*death));
  }
  return evidence;
}

json::array
FormatEvidence(const FingerprintEvidence& aEvidence, Time aNow)
{
  json::array deaths;
  for (const ServerDeath& death : aEvidence.deaths_) {
    deaths.push_back(json::array{ death.server_.GetValue(),
                                  death.startedUnixMs_,
                                  FormatAge(death.at_, aNow) });
  }
  json::value soundAge;
  if (aEvidence.soundAt_) {
    soundAge = FormatAge(*aEvidence.soundAt_, aNow);
  }
  return json::array{ FormatFingerprint(aEvidence.fingerprint_),
                      std::move(soundAge),
                      std::move(deaths) };
}

/** Parses the evidence about one kind of fingerprints, which a report may lack.
 * @returns whether it is valid. */
bool
ParseEvidenceMember(FingerprintKind aKind,
                    const json::object& aObject,
                    Time aNow,
                    LoadReport& aReport)
{
  const json::value* entries =
    aObject.if_contains(kEvidenceMembers.FindName(aKind));
  if (entries == nullptr) {
    return true;
  }
  if (!entries->is_array() ||
      entries->get_array().size() > RequestQuarantine::kMaxReported) {
    return false;
  }
  for (const json::value& entry : entries->get_array()) {
    auto evidence = ParseEvidence(aKind, entry, aNow);
    if (!evidence) {
      return false;
    }
    aReport.evidence_.push_back(std::move(*evidence));
  }
  return true;
}

/** @returns whether the evidence about all kinds of fingerprints is valid. */
bool
ParseEvidence(const json::object& aObject, Time aNow, LoadReport& aReport)
{
  return std::all_of(kFingerprintKinds.begin(),
                     kFingerprintKinds.end(),
                     [&](FingerprintKind aKind) {
                       return ParseEvidenceMember(
                         aKind, aObject, aNow, aReport);
                     });
}

/** Parses the rate limits of servers, which a report may lack.
 * @returns whether they are valid. */
bool
ParseServerLimits(const json::object& aObject, Time aNow, LoadReport& aReport)
{
  const json::value* entries = aObject.if_contains("limits");
  if (entries == nullptr) {
    return true;
  }
  if (!entries->is_array() ||
      entries->get_array().size() > ServerLimitTable::kMaxReportedLimits) {
    return false;
  }
  for (const json::value& entry : entries->get_array()) {
    auto limit = ParseServerLimit(entry, aNow);
    if (!limit) {
      return false;
    }
    aReport.limits_.push_back(std::move(*limit));
  }
  return true;
}

/** JSON array of an engine's pace: the engine, nanoseconds per token. */
constexpr std::size_t kPaceFieldCount = 2;

json::array
FormatPaces(const std::vector<ReportedPace>& aPaces)
{
  json::array paces;
  for (const ReportedPace& pace : aPaces) {
    paces.push_back(
      json::array{ pace.server_.GetValue(),
                   std::llround(pace.secondsPerToken_ / kMeanUnit) });
  }
  return paces;
}

/** Parses the paces of engines, which a report may lack.
 * @returns whether they are valid. */
bool
ParsePaces(const json::object& aObject, LoadReport& aReport)
{
  const json::value* entries = aObject.if_contains("paces");
  if (entries == nullptr) {
    return true;
  }
  if (!entries->is_array()) {
    return false;
  }
  for (const json::value& entry : entries->get_array()) {
    const json::array* fields = entry.if_array();
    const bool isValid = fields != nullptr &&
                         fields->size() == kPaceFieldCount &&
                         (*fields)[0].is_string() && (*fields)[1].is_int64() &&
                         (*fields)[1].get_int64() > 0;
    if (!isValid) {
      return false;
    }
    aReport.paces_.push_back(
      { BackendServerId(std::string((*fields)[0].get_string())),
        static_cast<double>((*fields)[1].get_int64()) * kMeanUnit });
  }
  return true;
}

/** Parses the ratio of disturbed gaps, which a report may lack.
 * @returns whether it is valid. */
bool
ParseDisturbedRatio(const json::object& aObject, LoadReport& aReport)
{
  const json::value* value = aObject.if_contains("disturbed_ratio");
  if (value == nullptr) {
    return true;
  }
  const json::array* fields = value->if_array();
  const auto mean = fields != nullptr && fields->size() == 2
                      ? ParseMean((*fields)[0], (*fields)[1])
                      : std::nullopt;
  aReport.disturbedRatio_ = mean.value_or(DecayedMean());
  return mean.has_value();
}

/** Parses the cold servers, which a report may lack.
 * @returns whether they are valid. */
bool
ParseColdServers(const json::object& aObject, Time aNow, LoadReport& aReport)
{
  const json::value* entries = aObject.if_contains("cold");
  if (entries == nullptr) {
    return true;
  }
  const json::object* servers = entries->if_object();
  if (servers == nullptr || servers->size() > WarmUpTable::kMaxReported) {
    return false;
  }
  for (const auto& entry : *servers) {
    const auto warmUp = ParseWarmUp(entry.value(), aNow);
    if (!warmUp) {
      return false;
    }
    aReport.cold_.emplace_back(BackendServerId(std::string(entry.key())),
                               *warmUp);
  }
  return true;
}

/** Parses the daemons that a report covers.
 * @returns whether the members are valid. */
bool
ParseScope(const json::object& aObject, LoadReport& aReport)
{
  const json::value* zone = aObject.if_contains("zone");
  const json::value* scope = aObject.if_contains("scope");
  const json::value* daemons = aObject.if_contains("daemons");
  if (zone != nullptr) {
    if (!zone->is_string()) {
      return false;
    }
    aReport.zone_ = std::string(zone->get_string());
  }
  if (scope == nullptr) {
    return true;
  }
  const auto value =
    scope->is_string()
      ? kLoadScopeNames.FindValue(std::string_view(scope->get_string().data(),
                                                   scope->get_string().size()))
      : std::nullopt;
  if (!value || daemons == nullptr || !daemons->is_number()) {
    return false;
  }
  boost::system::error_code code;
  aReport.scope_ = *value;
  aReport.daemonCount_ = daemons->to_number<std::uint32_t>(code);
  return !code && aReport.daemonCount_ <= kMaxDaemonCount;
}

} // namespace

std::string
FormatLoadReport(const LoadReport& aReport, Time aNow)
{
  json::array uses;
  for (const ServerUsage& use : aReport.uses_) {
    uses.push_back(json::array{ use.server_.GetValue(),
                                use.runs_,
                                std::llround(use.memoryTokens_),
                                std::llround(use.pendingPromptTokens_) });
  }
  json::object report;
  report["sender"] = aReport.sender_;
  report["zone"] = aReport.zone_;
  if (aReport.scope_ != LoadScope::Daemon) {
    report["scope"] = kLoadScopeNames.FindName(aReport.scope_);
    report["daemons"] = aReport.daemonCount_;
  }
  report["uses"] = std::move(uses);
  json::array leaving;
  for (const BackendServerId& server : aReport.leaving_) {
    leaving.emplace_back(server.GetValue());
  }
  report["leaving"] = std::move(leaving);
  report["has_store"] = aReport.hasStoreAccess_;
  report["tables_version"] = aReport.tablesVersion_;
  if (aReport.findings_) {
    json::array findings;
    for (const ReportedStatistics& reportedStatistics : *aReport.findings_) {
      findings.push_back(FormatFinding(reportedStatistics));
    }
    report["findings"] = std::move(findings);
  }
  if (!aReport.cold_.empty()) {
    json::object cold;
    for (const auto& [server, warmUp] : aReport.cold_) {
      cold[server.GetValue()] = FormatWarmUp(warmUp, aNow);
    }
    report["cold"] = std::move(cold);
  }
  if (!aReport.paces_.empty()) {
    report["paces"] = FormatPaces(aReport.paces_);
  }
  if (aReport.disturbedRatio_.weight_ > 0.0) {
    json::array ratio;
    AppendMean(ratio, aReport.disturbedRatio_);
    report["disturbed_ratio"] = std::move(ratio);
  }
  for (const FingerprintEvidence& entry : aReport.evidence_) {
    json::value& evidence =
      report[kEvidenceMembers.FindName(entry.fingerprint_.kind_)];
    if (!evidence.is_array()) {
      evidence.emplace_array();
    }
    evidence.get_array().push_back(FormatEvidence(entry, aNow));
  }
  if (!aReport.limits_.empty()) {
    json::array limits;
    for (const ServerLimit& limit : aReport.limits_) {
      limits.push_back(FormatServerLimit(limit, aNow));
    }
    report["limits"] = std::move(limits);
  }
  return json::serialize(report);
}

std::optional<LoadReport>
ParseLoadReport(std::string_view aText, Time aNow)
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
  const bool isValid =
    ParseScope(*object, report) && ParseEvidence(*object, aNow, report) &&
    ParseServerLimits(*object, aNow, report) &&
    ParseColdServers(*object, aNow, report) && ParsePaces(*object, report) &&
    ParseDisturbedRatio(*object, report);
  if (!isValid) {
    return std::nullopt;
  }
  const json::value* hasStore = object->if_contains("has_store");
  report.hasStoreAccess_ =
    hasStore == nullptr || !hasStore->is_bool() || hasStore->get_bool();
  const json::value* version = object->if_contains("tables_version");
  if (version != nullptr && version->is_number()) {
    report.tablesVersion_ = version->to_number<std::uint64_t>(code);
    if (code) {
      return std::nullopt;
    }
  }
  const json::value* leaving = object->if_contains("leaving");
  if (leaving != nullptr && leaving->is_array()) {
    for (const json::value& server : leaving->get_array()) {
      if (!server.is_string()) {
        return std::nullopt;
      }
      report.leaving_.emplace_back(std::string(server.get_string()));
    }
  }
  const json::value* findings = object->if_contains("findings");
  if (findings != nullptr && findings->is_array()) {
    report.findings_.emplace();
    for (const json::value& entry : findings->get_array()) {
      auto reportedStatistics = ParseFinding(entry);
      if (!reportedStatistics) {
        return std::nullopt;
      }
      report.findings_->push_back(std::move(*reportedStatistics));
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

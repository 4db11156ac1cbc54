#include "RequestTrace.h"

#include <algorithm>
#include <array>
#include <istream>

namespace azurecross {

namespace json = boost::json;

namespace {

/** Fields that all records have; the rest is printed. */
constexpr std::array<std::string_view, 4> kCommonFields{ "time",
                                                         "level",
                                                         "program",
                                                         "message" };
constexpr std::array<std::string_view, 3> kStoreMessages{ "dependency_lost",
                                                          "dependency_regained",
                                                          "stopping" };
/** The texts of the records about one kind of fingerprints. */
struct QuarantineTexts
{
  std::string_view message_;
  /** The reason of a refusal. */
  std::string_view reason_;
  std::string_view idField_;
  /** What stands before the id in the detail of a refusal. */
  std::string_view noun_;
  std::string_view deathsField_;
};
constexpr std::array<QuarantineTexts, 2> kQuarantineTexts{
  { { "prompt_quarantine_changed",
      "prompt_quarantined",
      "part",
      "part",
      "engines" },
    { "request_quarantine_changed",
      "request_quarantined",
      "fingerprint",
      "fingerprint",
      "servers" } }
};
constexpr std::string_view kLimitMessage = "server_limit_changed";
constexpr std::array<std::string_view, 3> kServerFields{ "backend_server",
                                                         "from",
                                                         "to" };

std::string
FindText(const json::object& aFields, std::string_view aName)
{
  const json::value* value = aFields.if_contains(aName);
  if (value == nullptr) {
    return {};
  }
  return value->is_string() ? std::string(value->get_string())
                            : json::serialize(*value);
}

template<std::size_t Count>
bool
Contains(const std::array<std::string_view, Count>& aNames,
         std::string_view aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

/** @returns the texts of the kind of record with this message, or null. */
const QuarantineTexts*
FindQuarantineTexts(std::string_view aMessage)
{
  const auto* const found = std::find_if(
    kQuarantineTexts.begin(),
    kQuarantineTexts.end(),
    [&](const QuarantineTexts& aTexts) { return aTexts.message_ == aMessage; });
  return found == kQuarantineTexts.end() ? nullptr : found;
}

/** @returns whether the detail of a refusal names the id that a record about
 * the quarantine has. */
bool
NamesFingerprint(std::string_view aDetail,
                 const QuarantineTexts& aTexts,
                 const json::object& aRecord)
{
  const std::string id = FindText(aRecord, aTexts.idField_);
  const std::string name = std::string(aTexts.noun_) + " " + id;
  const std::size_t at =
    id.empty() ? std::string_view::npos : aDetail.find(name);
  if (at == std::string_view::npos) {
    return false;
  }
  const std::size_t end = at + name.size();
  return end == aDetail.size() || aDetail[end] == ' ';
}

} // namespace

RequestTrace::RequestTrace(std::string aRequest)
  : request_(std::move(aRequest))
{
}

void
RequestTrace::Read(std::istream& aLines, const std::string& aSource)
{
  std::string line;
  while (std::getline(aLines, line)) {
    TakeLine(line, aSource);
  }
}

void
RequestTrace::TakeLine(std::string_view aLine, const std::string& aSource)
{
  const std::size_t start = aLine.find('{');
  if (start == std::string_view::npos) {
    unreadable_ += aLine.empty() ? 0 : 1;
    return;
  }
  boost::system::error_code code;
  json::value value = json::parse(aLine.substr(start), code);
  const bool isRecord =
    !code && value.is_object() && value.get_object().contains("message");
  if (!isRecord) {
    ++unreadable_;
    return;
  }
  Record record;
  record.fields_ = std::move(value.get_object());
  record.time_ = FindText(record.fields_, "time");
  record.message_ = FindText(record.fields_, "message");
  record.source_ = aSource;
  if (FindText(record.fields_, "request") == request_) {
    own_.push_back(std::move(record));
  } else if (record.message_ == "server_changed" ||
             FindQuarantineTexts(record.message_) != nullptr ||
             record.message_ == kLimitMessage ||
             Contains(kStoreMessages, record.message_)) {
    changes_.push_back(std::move(record));
  }
}

std::vector<RequestTrace::Record>
RequestTrace::FindContext() const
{
  std::set<std::string> servers;
  std::set<std::string> sources;
  for (const Record& record : own_) {
    sources.insert(record.source_);
    for (const std::string_view field : kServerFields) {
      servers.insert(FindText(record.fields_, field));
    }
  }
  std::vector<Record> context;
  for (const Record& record : changes_) {
    // Each process logs the same change of a server; the request's own decided.
    if (!sources.contains(record.source_)) {
      continue;
    }
    const bool isOfServer =
      (record.message_ == "server_changed" ||
       record.message_ == kLimitMessage) &&
      servers.contains(FindText(record.fields_, "backend_server"));
    const QuarantineTexts* texts = FindQuarantineTexts(record.message_);
    const bool isOfFingerprint =
      texts != nullptr &&
      std::any_of(own_.begin(), own_.end(), [&](const Record& aOwn) {
        return NamesFingerprint(
          FindText(aOwn.fields_, "detail"), *texts, record.fields_);
      });
    if (isOfServer || isOfFingerprint ||
        Contains(kStoreMessages, record.message_)) {
      context.push_back(record);
    }
  }
  return context;
}

std::vector<std::string>
RequestTrace::Describe() const
{
  std::vector<Record> records = FindContext();
  records.insert(records.end(), own_.begin(), own_.end());
  // Times have one format, so that their order is that of the texts.
  std::stable_sort(records.begin(),
                   records.end(),
                   [](const Record& aLeft, const Record& aRight) {
                     return aLeft.time_ < aRight.time_;
                   });
  std::vector<std::string> lines;
  for (const Record& record : records) {
    std::string line =
      record.time_ + " " + record.source_ + " " + record.message_;
    for (const auto& field : record.fields_) {
      if (!Contains(kCommonFields, field.key()) && field.key() != "request") {
        line += " " + std::string(field.key()) + "=" +
                FindText(record.fields_, field.key());
      }
    }
    lines.push_back(std::move(line));
  }
  return lines;
}

std::string
RequestTrace::FindCause() const
{
  const auto isEnd = [](const Record& aRecord) {
    return aRecord.message_ == "request_served" ||
           aRecord.message_ == "request_failed" ||
           aRecord.message_ == "request_refused" ||
           aRecord.message_ == "caller_left";
  };
  const auto end = std::find_if(own_.rbegin(), own_.rend(), isEnd);
  if (end == own_.rend()) {
    return "no record of its end: the process died, or its log is missing";
  }
  if (end->message_ == "request_served") {
    return "served with status " + FindText(end->fields_, "status");
  }
  std::string cause = end->message_ + ": " + FindText(end->fields_, "reason") +
                      ", " + FindText(end->fields_, "detail") + " (verdict " +
                      FindText(end->fields_, "verdict") + ")";
  const std::string server = FindText(end->fields_, "backend_server");
  std::string store;
  std::string serverChange;
  for (const Record& record : FindContext()) {
    if (record.time_ > end->time_ ||
        FindQuarantineTexts(record.message_) != nullptr ||
        record.message_ == kLimitMessage) {
      continue;
    }
    if (record.message_ == "dependency_lost") {
      store = "; the store was lost since " + record.time_;
    } else if (record.message_ == "dependency_regained") {
      store.clear();
    } else if (record.message_ == "stopping") {
      store = "; the process was stopping since " + record.time_;
    } else if (FindText(record.fields_, "backend_server") == server) {
      serverChange.clear();
      const std::string change = FindText(record.fields_, "change");
      if (change != "added") {
        serverChange += "; backend server ";
        serverChange += server;
        serverChange += " ";
        serverChange += change;
        serverChange += " at ";
        serverChange += record.time_;
      }
    }
  }
  const auto move =
    std::find_if(own_.rbegin(), own_.rend(), [](const Record& aRecord) {
      return aRecord.message_ == "move_ended";
    });
  if (move != own_.rend()) {
    cause += "; last move: " + FindText(move->fields_, "step") + " " +
             FindText(move->fields_, "outcome");
  }
  return cause + DescribePermitWait() + DescribeExamination() + serverChange +
         store + DescribeQuarantine(*end);
}

std::string
RequestTrace::DescribePermitWait() const
{
  double seconds = 0.0;
  for (const Record& record : own_) {
    const json::value* wait = record.fields_.if_contains("permit_wait_s");
    boost::system::error_code code;
    const double value = wait == nullptr ? 0.0 : wait->to_number<double>(code);
    seconds += code ? 0.0 : value;
  }
  if (seconds == 0.0) {
    return {};
  }
  return "; waited " + std::to_string(seconds) +
         " s for permits of backend servers that limit their rate";
}

std::string
RequestTrace::DescribeExamination() const
{
  std::string text;
  for (const Record& record : own_) {
    if (record.message_ == "server_examined") {
      text += "; server ";
      text += FindText(record.fields_, "backend_server");
      text += " was found ";
      text += FindText(record.fields_, "outcome");
      text += " at ";
      text += record.time_;
    }
  }
  return text;
}

std::string
RequestTrace::DescribeQuarantine(const Record& aEnd) const
{
  const std::string reason = FindText(aEnd.fields_, "reason");
  const auto* const texts = std::find_if(
    kQuarantineTexts.begin(),
    kQuarantineTexts.end(),
    [&](const QuarantineTexts& aTexts) { return aTexts.reason_ == reason; });
  if (texts == kQuarantineTexts.end()) {
    return {};
  }
  const std::string noun(texts->noun_);
  const std::string servers(texts->deathsField_);
  // The newest verdict before the refusal, and the first correction after it.
  const Record* verdict = nullptr;
  const Record* correction = nullptr;
  const std::vector<Record> context = FindContext();
  for (const Record& record : context) {
    const bool isOfFingerprint =
      record.message_ == texts->message_ && record.source_ == aEnd.source_ &&
      NamesFingerprint(
        FindText(aEnd.fields_, "detail"), *texts, record.fields_);
    if (!isOfFingerprint) {
      continue;
    }
    const bool isLifted = FindText(record.fields_, "change") == "lifted";
    if (!isLifted && record.time_ <= aEnd.time_ &&
        (verdict == nullptr || record.time_ >= verdict->time_)) {
      verdict = &record;
    } else if (isLifted && record.time_ >= aEnd.time_ &&
               (correction == nullptr || record.time_ < correction->time_)) {
      correction = &record;
    }
  }
  if (verdict == nullptr) {
    return "; no record of the quarantine of the " + noun +
           ": its log is missing";
  }
  std::string text =
    "; " + noun + " " + FindText(verdict->fields_, texts->idField_) + " was " +
    FindText(verdict->fields_, "change") + " at " + verdict->time_ + " after " +
    FindText(verdict->fields_, "deaths") + " deaths of " + servers + ": " +
    FindText(verdict->fields_, servers);
  if (correction != nullptr) {
    text += "; lifted at " + correction->time_;
  }
  return text;
}

} // namespace azurecross

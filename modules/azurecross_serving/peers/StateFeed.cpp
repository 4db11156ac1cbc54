#include "StateFeed.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <set>

namespace azurecross {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/** Removed registrations that are remembered; older ones are found missing in
 * a whole list. */
constexpr std::size_t kMostEntries = 20000;
/** Longest time that a call may wait for a change. */
constexpr std::chrono::milliseconds kLongestWait{ 20000 };

std::uint64_t
FindNumber(const HttpRequest& aRequest, std::string_view aName)
{
  const std::string text = aRequest.FindQueryValue(aName);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

Duration
FindWait(const HttpRequest& aRequest)
{
  const auto wait = std::chrono::milliseconds(FindNumber(aRequest, "wait"));
  return std::min<Duration>(wait, kLongestWait);
}

std::optional<json::object>
ParseObject(std::string_view aText)
{
  boost::system::error_code code;
  json::value value = json::parse(aText, code);
  if (code || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

std::optional<std::uint64_t>
FindCount(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_number()) {
    return std::nullopt;
  }
  boost::system::error_code code;
  const auto number = value->to_number<std::uint64_t>(code);
  return code ? std::nullopt : std::optional(number);
}

HttpResponse
MakeUnavailable()
{
  return MakeJsonResponse(503, R"({"error":{"message":"nothing known yet"}})");
}

} // namespace

std::string
FormatTablesFeedResponse(const TablesFeedResponse& aTables)
{
  json::object object;
  object["version"] = aTables.version_;
  object["age_us"] =
    std::chrono::duration_cast<std::chrono::microseconds>(aTables.age_).count();
  object["text"] = aTables.text_;
  return json::serialize(object);
}

std::optional<TablesFeedResponse>
ParseTablesFeedResponse(std::string_view aText)
{
  const auto object = ParseObject(aText);
  const auto version = object ? FindCount(*object, "version") : std::nullopt;
  const auto age = object ? FindCount(*object, "age_us") : std::nullopt;
  const json::value* text = object ? object->if_contains("text") : nullptr;
  if (!version || !age || text == nullptr || !text->is_string()) {
    return std::nullopt;
  }
  TablesFeedResponse tables;
  tables.version_ = *version;
  tables.age_ = std::chrono::microseconds(*age);
  tables.text_ = std::string(text->get_string());
  return tables;
}

std::string
FormatServersFeedResponse(const ServersFeedResponse& aServers)
{
  json::array servers;
  for (const auto& [id, text] : aServers.servers_) {
    servers.push_back(json::array{ id, text });
  }
  json::object object;
  object["epoch"] = aServers.epoch_;
  object["last"] = aServers.last_;
  object["whole"] = aServers.isWhole_;
  object["servers"] = std::move(servers);
  return json::serialize(object);
}

std::optional<ServersFeedResponse>
ParseServersFeedResponse(std::string_view aText)
{
  const auto object = ParseObject(aText);
  const auto epoch = object ? FindCount(*object, "epoch") : std::nullopt;
  const auto last = object ? FindCount(*object, "last") : std::nullopt;
  const json::value* whole = object ? object->if_contains("whole") : nullptr;
  const json::value* list = object ? object->if_contains("servers") : nullptr;
  if (!epoch || !last || whole == nullptr || !whole->is_bool() ||
      list == nullptr || !list->is_array()) {
    return std::nullopt;
  }
  ServersFeedResponse servers;
  servers.epoch_ = *epoch;
  servers.last_ = *last;
  servers.isWhole_ = whole->get_bool();
  for (const json::value& entry : list->get_array()) {
    const json::array* pair = entry.if_array();
    if (pair == nullptr || pair->size() != 2 || !(*pair)[0].is_string() ||
        !(*pair)[1].is_string()) {
      return std::nullopt;
    }
    servers.servers_.emplace_back(std::string((*pair)[0].get_string()),
                                  std::string((*pair)[1].get_string()));
  }
  return servers;
}

StateFeed::StateFeed(asio::io_context& aContext,
                     const SocketAddress& aAddress,
                     std::uint64_t aEpoch)
  // JSON numbers are exact up to 53 bits.
  : epoch_(aEpoch >> 12U)
  , changed_(aContext.get_executor())
  , server_(aContext.get_executor(), aAddress, [this](HttpExchange& aExchange) {
    return Serve(aExchange);
  })
{
}

void
StateFeed::SetTables(std::uint64_t aVersion, const std::string& aText)
{
  if (aVersion <= version_) {
    return;
  }
  version_ = aVersion;
  tables_ = aText;
  changed_.Notify();
}

void
StateFeed::ConfirmTables(Time aSentAt)
{
  provedAt_ = aSentAt;
}

void
StateFeed::Suspend()
{
  if (provedAt_) {
    provedAt_.reset();
    changed_.Notify();
  }
}

void
StateFeed::UpdateServers(const std::vector<ServerEvent>& aServers,
                         bool aIsWhole)
{
  std::set<std::string> listed;
  bool hasChanged = !hasServers_;
  const auto set = [&](const std::string& aId, const std::string& aText) {
    Entry& entry = servers_[aId];
    if (entry.change_ == 0 || entry.text_ != aText) {
      entry.text_ = aText;
      entry.change_ = ++change_;
      hasChanged = true;
    }
  };
  for (const ServerEvent& server : aServers) {
    listed.insert(server.id_.GetValue());
    set(server.id_.GetValue(), server.record_ ? server.text_ : std::string());
  }
  if (aIsWhole) {
    for (const auto& [id, entry] : servers_) {
      if (!listed.contains(id)) {
        set(id, std::string());
      }
    }
    hasServers_ = true;
  }
  if (servers_.size() > kMostEntries) {
    std::erase_if(
      servers_, [](const auto& aEntry) { return aEntry.second.text_.empty(); });
  }
  if (hasChanged) {
    changed_.Notify();
  }
}

TablesFeedResponse
StateFeed::MakeTablesResponse(std::uint64_t aKnown, Time aBootNow) const
{
  TablesFeedResponse tables;
  tables.version_ = version_;
  tables.age_ = aBootNow - provedAt_.value_or(Time());
  if (aKnown != version_) {
    tables.text_ = tables_;
  }
  return tables;
}

ServersFeedResponse
StateFeed::MakeServersResponse(std::uint64_t aEpoch, std::uint64_t aKnown) const
{
  ServersFeedResponse servers;
  servers.epoch_ = epoch_;
  servers.last_ = change_;
  servers.isWhole_ = aEpoch != epoch_;
  for (const auto& [id, entry] : servers_) {
    const bool isNews =
      servers.isWhole_ ? !entry.text_.empty() : entry.change_ > aKnown;
    if (isNews) {
      servers.servers_.emplace_back(id, entry.text_);
    }
  }
  return servers;
}

asio::awaitable<void>
StateFeed::Serve(HttpExchange& aExchange)
{
  HttpRequest request = aExchange.GetRequest();
  HttpResponse response =
    MakeJsonResponse(404, R"({"error":{"message":"no such feed"}})");
  if (request.GetPath() == "/feed/tables") {
    response = co_await AnswerTables(std::move(request));
  } else if (request.GetPath() == "/feed/servers") {
    response = co_await AnswerServers(std::move(request));
  }
  co_await aExchange.Respond(std::move(response));
}

asio::awaitable<HttpResponse>
StateFeed::AnswerTables(HttpRequest aRequest)
{
  const std::uint64_t known = FindNumber(aRequest, "known");
  const Duration wait = FindWait(aRequest);
  const Time end = ReadMonotonicTime() + wait;
  while (version_ == known && provedAt_ && ReadMonotonicTime() < end) {
    co_await changed_.Wait(end - ReadMonotonicTime());
  }
  if (version_ == 0 || !provedAt_) {
    co_return MakeUnavailable();
  }
  co_return MakeJsonResponse(
    200, FormatTablesFeedResponse(MakeTablesResponse(known, ReadBootTime())));
}

asio::awaitable<HttpResponse>
StateFeed::AnswerServers(HttpRequest aRequest)
{
  const std::uint64_t epoch = FindNumber(aRequest, "epoch");
  const std::uint64_t known = FindNumber(aRequest, "known");
  const Time end = ReadMonotonicTime() + FindWait(aRequest);
  while (epoch == epoch_ && change_ == known && provedAt_ &&
         ReadMonotonicTime() < end) {
    co_await changed_.Wait(end - ReadMonotonicTime());
  }
  if (!hasServers_ || !provedAt_) {
    co_return MakeUnavailable();
  }
  co_return MakeJsonResponse(
    200, FormatServersFeedResponse(MakeServersResponse(epoch, known)));
}

} // namespace azurecross

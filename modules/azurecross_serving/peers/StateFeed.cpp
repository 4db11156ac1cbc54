#include "StateFeed.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <set>

namespace azurecross {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/** Number of entries above which removed registrations are discarded. A peer
 * that missed such a removal finds the server missing in a complete list. */
constexpr std::size_t kMaxServerEntries = 20000;
/** The largest text that is accepted from another daemon. */
constexpr std::size_t kMaxTextBytes = std::size_t{ 32 } << 20;
/** The largest age of tables that is accepted from another daemon, a day. Much
 * larger ones overflow when they are converted to nanoseconds. */
constexpr std::uint64_t kMaxAgeMicroseconds = 86'400'000'000;
/** Longest time for which a request may wait for a change. */
constexpr std::chrono::milliseconds kMaxWait{ 20000 };
/** Time for which a feed tells that the store was restored from a backup;
 * longer than the pause of a subscriber between two requests. */
constexpr Duration kRestoreNoticeTime = std::chrono::seconds(1);

std::uint64_t
ParseQueryNumber(const HttpRequest& aRequest, std::string_view aName)
{
  const std::string text = aRequest.FindQueryValue(aName);
  std::uint64_t number = 0;
  const auto parsed =
    std::from_chars(text.data(), text.data() + text.size(), number);
  return parsed.ec == std::errc::result_out_of_range
           ? std::numeric_limits<std::uint64_t>::max()
           : number;
}

Duration
ParseWaitTime(const HttpRequest& aRequest)
{
  // Limited before the conversion to nanoseconds, which can overflow.
  constexpr auto kMaxCount = static_cast<std::uint64_t>(kMaxWait.count());
  return std::chrono::milliseconds(
    std::min(ParseQueryNumber(aRequest, "wait"), kMaxCount));
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
FindUnsignedField(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_number()) {
    return std::nullopt;
  }
  boost::system::error_code code;
  const auto number = value->to_number<std::uint64_t>(code);
  return code ? std::nullopt : std::optional(number);
}

/** @returns a long text in the encoding of the feed. */
std::string
EncodeText(const std::string& aText)
{
  return EncodeBase64(CompressText(aText));
}

std::optional<std::string>
DecodeText(const json::string& aEncodedText)
{
  const auto stream = DecodeBase64(std::string(aEncodedText));
  return stream ? DecompressText(*stream, kMaxTextBytes) : std::nullopt;
}

json::object
FormatZones(const EvacuatedZones& aZones)
{
  json::array zones;
  for (const AvailabilityZone& zone : aZones.zones_) {
    zones.emplace_back(zone.GetValue());
  }
  json::object object;
  object["zones"] = std::move(zones);
  object["restores"] = aZones.restoreCount_;
  object["revision"] = aZones.revision_;
  return object;
}

std::optional<EvacuatedZones>
ParseZones(const json::value& aValue)
{
  const json::object* object = aValue.if_object();
  const json::value* list = object ? object->if_contains("zones") : nullptr;
  const auto restores =
    object ? FindUnsignedField(*object, "restores") : std::nullopt;
  const auto revision =
    object ? FindUnsignedField(*object, "revision") : std::nullopt;
  if (list == nullptr || !list->is_array() || !restores || !revision) {
    return std::nullopt;
  }
  EvacuatedZones zones;
  zones.restoreCount_ = *restores;
  zones.revision_ = *revision;
  for (const json::value& zone : list->get_array()) {
    if (!zone.is_string()) {
      return std::nullopt;
    }
    zones.zones_.emplace(std::string(zone.get_string()));
  }
  return zones;
}

std::string
FormatTables(std::uint64_t aVersion,
             Duration aAge,
             const std::string& aEncodedTables,
             const std::optional<EvacuatedZones>& aZones)
{
  json::object object;
  object["version"] = aVersion;
  object["age_us"] =
    std::chrono::duration_cast<std::chrono::microseconds>(aAge).count();
  object["tables"] = aEncodedTables;
  if (aZones) {
    object["evacuated"] = FormatZones(*aZones);
  }
  return json::serialize(object);
}

/** Parses one daemon: its address, its zone and the capacity of its link. */
std::optional<MemberRecord>
ParseMember(const json::value& aValue)
{
  constexpr std::size_t kFieldCount = 3;
  const json::array* fields = aValue.if_array();
  const bool isValid = fields != nullptr && fields->size() == kFieldCount &&
                       (*fields)[0].is_string() && (*fields)[1].is_string() &&
                       (*fields)[2].is_number();
  if (!isValid) {
    return std::nullopt;
  }
  const auto address =
    ParseSocketAddress(std::string((*fields)[0].get_string()));
  boost::system::error_code code;
  const auto linkMbps = (*fields)[2].to_number<std::uint32_t>(code);
  if (!address || code) {
    return std::nullopt;
  }
  return MemberRecord{ *address,
                       AvailabilityZone(std::string((*fields)[1].get_string())),
                       linkMbps };
}

HttpResponse
MakeUnavailableResponse()
{
  return MakeJsonResponse(503,
                          R"({"error":{"message":"no current state known"}})");
}

} // namespace

std::uint64_t
ComputeZonesDigest(const std::set<AvailabilityZone>& aZones)
{
  if (aZones.empty()) {
    return 0;
  }
  std::string names;
  for (const AvailabilityZone& zone : aZones) {
    names.append(zone.GetValue()).push_back('\0');
  }
  return HashBytes(names);
}

std::string
FormatTablesFeedResponse(const TablesFeedResponse& aTables)
{
  return FormatTables(aTables.version_,
                      aTables.age_,
                      aTables.text_.empty() ? std::string()
                                            : EncodeText(aTables.text_),
                      aTables.evacuatedZones_);
}

std::optional<TablesFeedResponse>
ParseTablesFeedResponse(std::string_view aText)
{
  const auto object = ParseObject(aText);
  const auto version =
    object ? FindUnsignedField(*object, "version") : std::nullopt;
  const auto age = object ? FindUnsignedField(*object, "age_us") : std::nullopt;
  const json::value* encoded = object ? object->if_contains("tables") : nullptr;
  if (!version || !age || *age > kMaxAgeMicroseconds || encoded == nullptr ||
      !encoded->is_string()) {
    return std::nullopt;
  }
  TablesFeedResponse tables;
  tables.version_ = *version;
  tables.age_ = std::chrono::microseconds(*age);
  if (!encoded->get_string().empty()) {
    auto text = DecodeText(encoded->get_string());
    if (!text) {
      return std::nullopt;
    }
    tables.text_ = std::move(*text);
  }
  if (const json::value* zones = object->if_contains("evacuated")) {
    tables.evacuatedZones_ = ParseZones(*zones);
    if (!tables.evacuatedZones_) {
      return std::nullopt;
    }
  }
  return tables;
}

std::string
FormatMembersFeedResponse(const std::vector<MemberRecord>& aMembers)
{
  json::array members;
  for (const MemberRecord& member : aMembers) {
    members.push_back(json::array{ member.peerAddress_.Format(),
                                   member.zone_.GetValue(),
                                   member.linkMbps_ });
  }
  json::object object;
  object["members"] = std::move(members);
  return json::serialize(object);
}

std::optional<std::vector<MemberRecord>>
ParseMembersFeedResponse(std::string_view aText)
{
  const auto object = ParseObject(aText);
  const json::value* list = object ? object->if_contains("members") : nullptr;
  if (list == nullptr || !list->is_array()) {
    return std::nullopt;
  }
  std::vector<MemberRecord> members;
  for (const json::value& entry : list->get_array()) {
    auto member = ParseMember(entry);
    if (!member) {
      return std::nullopt;
    }
    members.push_back(std::move(*member));
  }
  return members;
}

std::string
FormatServersFeedResponse(const ServersFeedResponse& aServers,
                          bool aIsCompressed)
{
  json::array servers;
  for (const auto& [id, text] : aServers.servers_) {
    servers.push_back(json::array{ id, text });
  }
  json::object object;
  object["epoch"] = aServers.epoch_;
  object["last"] = aServers.lastChange_;
  object["whole"] = aServers.isComplete_;
  if (aServers.isAfterRestore_) {
    object["after_restore"] = true;
  }
  if (aIsCompressed) {
    object["compressed"] = EncodeText(json::serialize(servers));
  } else {
    object["servers"] = std::move(servers);
  }
  return json::serialize(object);
}

namespace {

/** @returns the registrations in a response, compressed or not, or null. */
json::value
FindServers(const json::object& aObject)
{
  if (const json::value* list = aObject.if_contains("servers")) {
    return *list;
  }
  const json::value* encoded = aObject.if_contains("compressed");
  const auto text = encoded != nullptr && encoded->is_string()
                      ? DecodeText(encoded->get_string())
                      : std::nullopt;
  boost::system::error_code code;
  json::value list = text ? json::parse(*text, code) : json::value();
  return code ? json::value() : list;
}

} // namespace

std::optional<ServersFeedResponse>
ParseServersFeedResponse(std::string_view aText)
{
  const auto object = ParseObject(aText);
  const auto epoch =
    object ? FindUnsignedField(*object, "epoch") : std::nullopt;
  const auto lastChange =
    object ? FindUnsignedField(*object, "last") : std::nullopt;
  const json::value* isComplete =
    object ? object->if_contains("whole") : nullptr;
  const json::value list = object ? FindServers(*object) : json::value();
  if (!epoch || !lastChange || isComplete == nullptr ||
      !isComplete->is_bool() || !list.is_array()) {
    return std::nullopt;
  }
  ServersFeedResponse servers;
  servers.epoch_ = *epoch;
  servers.lastChange_ = *lastChange;
  servers.isComplete_ = isComplete->get_bool();
  servers.isAfterRestore_ = object->contains("after_restore");
  for (const json::value& entry : list.get_array()) {
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

bool
IsStartingFeedResponse(std::string_view aText)
{
  const auto object = ParseObject(aText);
  return object && object->contains("starting");
}

StateFeed::StateFeed(asio::io_context& aContext,
                     const SocketAddress& aAddress,
                     std::uint64_t aEpoch)
  // JSON numbers are exact only up to 53 bits.
  : epoch_(aEpoch >> 12U)
  , changed_(aContext.get_executor())
  , server_(aContext.get_executor(), aAddress, [this](HttpExchange& aExchange) {
    return HandleRequest(aExchange);
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
  encodedTables_.clear();
  changed_.Notify();
}

void
StateFeed::SetEvacuatedZones(const EvacuatedZones& aZones)
{
  if (evacuatedZones_ && aZones.IsOlderThan(*evacuatedZones_)) {
    return;
  }
  evacuatedZones_ = aZones;
  const std::uint64_t digest = ComputeZonesDigest(aZones.zones_);
  if (digest != zonesDigest_) {
    zonesDigest_ = digest;
    changed_.Notify();
  }
}

void
StateFeed::ConfirmTables(Time aSentAt)
{
  const bool isFirst = !confirmedAt_;
  confirmedAt_ = aSentAt;
  isSuspended_ = false;
  if (isFirst) {
    changed_.Notify();
  }
}

void
StateFeed::SetMembers(std::vector<MemberRecord> aMembers)
{
  members_ = std::move(aMembers);
}

void
StateFeed::Suspend()
{
  isSuspended_ = true;
  if (confirmedAt_) {
    confirmedAt_.reset();
    changed_.Notify();
  }
}

void
StateFeed::UpdateServers(const ServersUpdate& aServers, bool aIsComplete)
{
  if (aServers.isAfterRestore_) {
    afterRestoreUntil_ = ReadMonotonicTime() + kRestoreNoticeTime;
  }
  std::set<std::string> listedIds;
  bool hasChanged = !hasServerList_;
  const auto updateEntry = [&](const std::string& aId,
                               const std::string& aText) {
    ServerEntry& entry = servers_[aId];
    if (entry.changeNumber_ == 0 || entry.text_ != aText) {
      entry.text_ = aText;
      entry.changeNumber_ = ++changeNumber_;
      hasChanged = true;
    }
  };
  for (const ServerEvent& server : aServers.servers_) {
    listedIds.insert(server.id_.GetValue());
    updateEntry(server.id_.GetValue(),
                server.record_ ? server.text_ : std::string());
  }
  if (aIsComplete) {
    for (const auto& [id, entry] : servers_) {
      if (!listedIds.contains(id)) {
        updateEntry(id, std::string());
      }
    }
    hasServerList_ = true;
  }
  if (servers_.size() > kMaxServerEntries) {
    std::erase_if(
      servers_, [](const auto& aEntry) { return aEntry.second.text_.empty(); });
  }
  if (hasChanged) {
    changed_.Notify();
  }
}

ServersFeedResponse
StateFeed::MakeServersResponse(std::uint64_t aEpoch, std::uint64_t aKnown) const
{
  ServersFeedResponse servers;
  servers.epoch_ = epoch_;
  servers.lastChange_ = changeNumber_;
  servers.isComplete_ = aEpoch != epoch_;
  servers.isAfterRestore_ = IsAfterRestore();
  for (const auto& [id, entry] : servers_) {
    const bool isIncluded =
      servers.isComplete_ ? !entry.text_.empty() : entry.changeNumber_ > aKnown;
    if (isIncluded) {
      servers.servers_.emplace_back(id, entry.text_);
    }
  }
  return servers;
}

asio::awaitable<void>
StateFeed::HandleRequest(HttpExchange& aExchange)
{
  HttpRequest request = aExchange.GetRequest();
  HttpResponse response =
    MakeJsonResponse(404, R"({"error":{"message":"unknown feed path"}})");
  if (request.GetPath() == "/feed/tables") {
    response = co_await HandleTablesRequest(std::move(request));
  } else if (request.GetPath() == "/feed/servers") {
    response = co_await HandleServersRequest(std::move(request));
  } else if (request.GetPath() == "/feed/members") {
    response = HandleMembersRequest();
  } else if (request.GetPath() == "/feed/ready") {
    response = co_await HandleReadyRequest(std::move(request));
  }
  co_await aExchange.Respond(std::move(response));
}

asio::awaitable<HttpResponse>
StateFeed::HandleTablesRequest(HttpRequest aRequest)
{
  const std::uint64_t known = ParseQueryNumber(aRequest, "known");
  // Daemons of an older version don't tell the zones that they know.
  const bool tellsZones = !aRequest.FindQueryValue("zones").empty();
  const std::uint64_t knownZones = ParseQueryNumber(aRequest, "zones");
  const Duration wait = ParseWaitTime(aRequest);
  const Time deadline = ReadMonotonicTime() + wait;
  const auto areZonesKnown = [&] {
    return !tellsZones || zonesDigest_ == knownZones;
  };
  while (version_ == known && areZonesKnown() && confirmedAt_ &&
         ReadMonotonicTime() < deadline) {
    co_await changed_.Wait(deadline - ReadMonotonicTime());
  }
  if (version_ == 0 || !confirmedAt_) {
    co_return MakeUnavailableResponse();
  }
  const bool includesTables =
    version_ != known && aRequest.FindQueryValue("tables") != "0";
  if (includesTables && encodedTables_.empty()) {
    encodedTables_ = EncodeText(tables_);
  }
  co_return MakeJsonResponse(
    200,
    FormatTables(version_,
                 ReadBootTime() - *confirmedAt_,
                 includesTables ? encodedTables_ : std::string(),
                 evacuatedZones_));
}

bool
StateFeed::IsReady() const
{
  return version_ != 0 && hasServerList_ && confirmedAt_;
}

asio::awaitable<HttpResponse>
StateFeed::HandleReadyRequest(HttpRequest aRequest)
{
  const Time deadline = ReadMonotonicTime() + ParseWaitTime(aRequest);
  // Daemons of an older version wait for tables and servers together.
  const bool needsTablesOnly = aRequest.FindQueryValue("tables") == "1";
  const auto isReady = [&] {
    return needsTablesOnly ? version_ != 0 && confirmedAt_.has_value()
                           : IsReady();
  };
  while (!isReady() && !isSuspended_ && ReadMonotonicTime() < deadline) {
    co_await changed_.Wait(deadline - ReadMonotonicTime());
  }
  if (isReady()) {
    co_return MakeJsonResponse(200, "{}");
  }
  co_return isSuspended_ ? MakeUnavailableResponse()
                         : MakeJsonResponse(503, R"({"starting":true})");
}

HttpResponse
StateFeed::HandleMembersRequest() const
{
  if (members_.empty()) {
    return MakeUnavailableResponse();
  }
  return MakeJsonResponse(200, FormatMembersFeedResponse(members_));
}

asio::awaitable<HttpResponse>
StateFeed::HandleServersRequest(HttpRequest aRequest)
{
  const std::uint64_t epoch = ParseQueryNumber(aRequest, "epoch");
  const std::uint64_t known = ParseQueryNumber(aRequest, "known");
  const Time deadline = ReadMonotonicTime() + ParseWaitTime(aRequest);
  while (epoch == epoch_ && changeNumber_ == known && confirmedAt_ &&
         ReadMonotonicTime() < deadline) {
    co_await changed_.Wait(deadline - ReadMonotonicTime());
  }
  if (!hasServerList_ || !confirmedAt_) {
    co_return MakeUnavailableResponse();
  }
  if (epoch != epoch_ && aRequest.FindQueryValue("compressed") == "1") {
    co_return MakeJsonResponse(200, GetCompleteServersText());
  }
  co_return MakeJsonResponse(
    200, FormatServersFeedResponse(MakeServersResponse(epoch, known), false));
}

const std::string&
StateFeed::GetCompleteServersText()
{
  const bool isAfterRestore = IsAfterRestore();
  if (completeServersText_.empty() || completeServersChange_ != changeNumber_ ||
      isCompleteTextAfterRestore_ != isAfterRestore) {
    completeServersChange_ = changeNumber_;
    isCompleteTextAfterRestore_ = isAfterRestore;
    // No run has the epoch 0, so that the response is complete.
    completeServersText_ =
      FormatServersFeedResponse(MakeServersResponse(0, 0), true);
  }
  return completeServersText_;
}

} // namespace azurecross

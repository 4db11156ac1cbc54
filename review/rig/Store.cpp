#include "Store.h"

#include <boost/json.hpp>

#include <array>
#include <cstdlib>

namespace rig {

namespace {

namespace json = boost::json;

constexpr Milliseconds kIdleTime{ 60000 };
constexpr std::size_t kPageItems = 500;
constexpr Milliseconds kClockInterval{ 100 };
constexpr std::string_view kAlphabet =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string
Encode(const std::string& aBytes)
{
  std::string text;
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, aBytes.size() - at);
    for (std::size_t index = 0; index < 3; ++index) {
      const unsigned char byte =
        index < count ? static_cast<unsigned char>(aBytes[at + index]) : 0;
      group = (group << 8U) | byte;
    }
    for (std::size_t index = 0; index < 4; ++index) {
      const std::uint32_t digit = (group >> (18U - 6U * index)) & 63U;
      text += index <= count ? kAlphabet[digit] : '=';
    }
  }
  return text;
}

std::string
Decode(const std::string& aText)
{
  std::string bytes;
  std::uint32_t group = 0;
  unsigned bits = 0;
  for (const char character : aText) {
    const std::size_t digit = kAlphabet.find(character);
    if (digit == std::string_view::npos) {
      break;
    }
    group = (group << 6U) | static_cast<std::uint32_t>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>((group >> bits) & 255U);
    }
  }
  return bytes;
}

std::string
DecodePercent(const std::string& aText)
{
  std::string text;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] == '%' && at + 2 < aText.size()) {
      text += static_cast<char>(
        std::strtol(aText.substr(at + 1, 2).c_str(), nullptr, 16));
      at += 2;
    } else {
      text += aText[at];
    }
  }
  return text;
}

std::map<std::string, std::string>
ParseQuery(const std::string& aTarget)
{
  std::map<std::string, std::string> query;
  std::size_t at = aTarget.find('?');
  while (at != std::string::npos) {
    const std::size_t end = aTarget.find('&', at + 1);
    const std::string field =
      aTarget.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    const std::size_t equals = field.find('=');
    if (equals != std::string::npos) {
      query[field.substr(0, equals)] = DecodePercent(field.substr(equals + 1));
    }
    at = end;
  }
  return query;
}

std::string
FindValue(const std::map<std::string, std::string>& aQuery,
          const std::string& aName)
{
  const auto found = aQuery.find(aName);
  return found == aQuery.end() ? std::string() : found->second;
}

std::uint64_t
ParseNumber(const std::string& aText)
{
  return std::strtoull(aText.c_str(), nullptr, 10);
}

} // namespace

Store::Store(const std::string& aHost)
{
  clock_ = std::thread([this] { RunClock(); });
  listener_ = std::make_unique<Listener>(
    aHost, [this](Socket& aSocket) { Serve(aSocket); });
}

Store::~Store()
{
  {
    const std::lock_guard lock(mutex_);
    isStopped_ = true;
  }
  changed_.notify_all();
  clock_.join();
  listener_->Stop();
}

void
Store::RunClock()
{
  std::unique_lock lock(mutex_);
  while (!isStopped_) {
    changed_.wait_for(lock, kClockInterval);
    if (!isAway_) {
      EndLeases();
    }
  }
}

void
Store::EndLeases()
{
  const Clock::time_point now = Clock::now();
  std::set<std::uint64_t> ended;
  for (const auto& [id, end] : contents_.leases_) {
    if (end <= now) {
      ended.insert(id);
    }
  }
  std::vector<std::string> keys;
  for (const auto& [key, item] : contents_.items_) {
    if (ended.contains(item.lease_)) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    RemoveLocked(key);
  }
  for (const std::uint64_t id : ended) {
    contents_.leases_.erase(id);
  }
}

void
Store::PutLocked(const std::string& aKey,
                 const std::string& aValue,
                 std::uint64_t aLease)
{
  Item& item = contents_.items_[aKey];
  item.revision_ = ++contents_.revision_;
  item.created_ = item.created_ == 0 ? item.revision_ : item.created_;
  item.value_ = aValue;
  item.lease_ = aLease;
  contents_.history_.push_back({ item.revision_, aKey, item });
  changed_.notify_all();
}

void
Store::RemoveLocked(const std::string& aKey)
{
  if (contents_.items_.erase(aKey) > 0) {
    contents_.history_.push_back({ ++contents_.revision_, aKey, std::nullopt });
    changed_.notify_all();
  }
}

void
Store::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(mutex_);
  PutLocked(aKey, aValue, 0);
}

void
Store::Remove(const std::string& aKey)
{
  const std::lock_guard lock(mutex_);
  RemoveLocked(aKey);
}

void
Store::TakeCopy()
{
  const std::lock_guard lock(mutex_);
  copy_ = contents_;
}

void
Store::GoAway()
{
  const std::lock_guard lock(mutex_);
  isAway_ = true;
  ++outages_;
  changed_.notify_all();
}

void
Store::ComeBack(bool aFromCopy)
{
  const std::lock_guard lock(mutex_);
  if (aFromCopy && copy_) {
    contents_ = *copy_;
    // The leases of the copy go on from now.
    for (auto& [id, end] : contents_.leases_) {
      end = Clock::now() + contents_.leaseTimes_[id];
    }
    ++era_;
  }
  isAway_ = false;
  changed_.notify_all();
}

void
Store::SilencePresentConnections()
{
  const std::lock_guard lock(mutex_);
  ++silences_;
}

void
Store::Serve(Socket& aSocket)
{
  HttpReader reader(aSocket);
  std::uint64_t silence = 0;
  {
    const std::lock_guard lock(mutex_);
    silence = silences_;
  }
  HttpMessage request;
  while (reader.Read(request, kIdleTime)) {
    std::uint64_t outage = 0;
    {
      const std::lock_guard lock(mutex_);
      if (isAway_) {
        return;
      }
      outage = outages_;
    }
    const Answer answer = Handle(request);
    std::uint64_t era = 0;
    {
      std::unique_lock lock(mutex_);
      if (isAway_ || outage != outages_) {
        return;
      }
      if (silence != silences_) {
        // Nothing comes any more, not even the end.
        changed_.wait(lock, [this] { return isStopped_; });
        return;
      }
      era = era_;
    }
    const std::string headers =
      "Content-Type: application/json\r\nStore-Era: " + std::to_string(era) +
      "\r\n";
    if (!aSocket.Send(FormatResponse(answer.status_, headers, answer.body_))) {
      return;
    }
  }
}

std::string
Store::FormatItem(const std::string& aKey, const Item& aItem)
{
  json::object object;
  object["key"] = aKey;
  object["value"] = Encode(aItem.value_);
  object["rev"] = aItem.revision_;
  object["created"] = aItem.created_;
  object["lease"] = aItem.lease_;
  return json::serialize(object);
}

std::string
Store::FormatRevision() const
{
  return "\"currentRev\":" + std::to_string(contents_.revision_);
}

std::string
Store::FormatItems(const std::string& aPrefix, const std::string& aAfter) const
{
  std::string text;
  std::size_t count = 0;
  bool hasMore = false;
  for (const auto& [key, item] : contents_.items_) {
    if (!key.starts_with(aPrefix) || key <= aAfter) {
      continue;
    }
    if (count == kPageItems) {
      hasMore = true;
      break;
    }
    text += (count++ == 0 ? "" : ",") + FormatItem(key, item);
  }
  return R"({"items":[)" + text + R"(],"hasMore":)" +
         (hasMore ? "true" : "false") + "," + FormatRevision() + "}";
}

Store::Answer
Store::Handle(const HttpMessage& aRequest)
{
  const std::string target = aRequest.GetSecondWord();
  const std::string path = target.substr(0, target.find('?'));
  const auto query = ParseQuery(target);
  if (path == "/v1/kv-watch") {
    return HandleWatch(query);
  }
  if (path == "/v1/kv-txn") {
    return HandleTransaction(aRequest.body_);
  }
  if (path.starts_with("/v1/kv-lease") || path.starts_with("/v1/kv-keep/")) {
    return HandleLease(path, aRequest.body_);
  }
  const std::lock_guard lock(mutex_);
  if (path == "/v1/kv-range") {
    return {
      200, FormatItems(FindValue(query, "prefix"), FindValue(query, "after"))
    };
  }
  if (path == "/v1/kv-key") {
    const auto found = contents_.items_.find(FindValue(query, "key"));
    if (found == contents_.items_.end()) {
      return { 404, "{" + FormatRevision() + "}" };
    }
    std::string text = FormatItem(found->first, found->second);
    text.pop_back();
    return { 200, text + "," + FormatRevision() + "}" };
  }
  return { 404, "{}" };
}

Store::Answer
Store::HandleWatch(const std::map<std::string, std::string>& aQuery)
{
  const std::string prefix = FindValue(aQuery, "prefix");
  const std::uint64_t after = ParseNumber(FindValue(aQuery, "after"));
  const Clock::time_point end =
    Clock::now() + Milliseconds(ParseNumber(FindValue(aQuery, "waitMs")));
  std::unique_lock lock(mutex_);
  const std::uint64_t era = era_;
  for (;;) {
    if (era != era_ || after > contents_.revision_) {
      return { 410, "{}" };
    }
    std::string text;
    for (const Event& event : contents_.history_) {
      if (event.revision_ <= after || !event.key_.starts_with(prefix)) {
        continue;
      }
      text += text.empty() ? "" : ",";
      text += event.item_
                ? FormatItem(event.key_, *event.item_)
                : R"({"key":")" + event.key_ + R"(","rev":)" +
                    std::to_string(event.revision_) + R"(,"tombstone":true})";
    }
    const bool isOver = Clock::now() >= end || isAway_ || isStopped_;
    if (!text.empty() || isOver) {
      return { 200, R"({"events":[)" + text + "]," + FormatRevision() + "}" };
    }
    changed_.wait_until(lock, end);
  }
}

Store::Answer
Store::HandleTransaction(const std::string& aBody)
{
  boost::system::error_code code;
  const json::value body = json::parse(aBody, code);
  if (code || !body.is_object()) {
    return { 400, "{}" };
  }
  const json::object& object = body.get_object();
  const auto findList = [&](std::string_view aName) {
    const json::value* list = object.if_contains(aName);
    return list != nullptr && list->is_array() ? list->get_array()
                                               : json::array();
  };
  const std::lock_guard lock(mutex_);
  for (const json::value& row : findList("expectRev")) {
    const std::string key(row.at("key").as_string());
    const auto found = contents_.items_.find(key);
    const std::uint64_t revision =
      found == contents_.items_.end() ? 0 : found->second.revision_;
    if (revision != row.at("rev").to_number<std::uint64_t>()) {
      return { 412, R"({"items":[]})" };
    }
  }
  for (const json::value& put : findList("puts")) {
    const auto lease = put.at("lease").to_number<std::uint64_t>();
    if (lease != 0 && !contents_.leases_.contains(lease)) {
      return { 404, "{}" };
    }
    PutLocked(std::string(put.at("key").as_string()),
              Decode(std::string(put.at("value").as_string())),
              lease);
  }
  for (const json::value& key : findList("remove")) {
    RemoveLocked(std::string(key.as_string()));
  }
  return { 200, R"({"rev":)" + std::to_string(contents_.revision_) + "}" };
}

Store::Answer
Store::HandleLease(const std::string& aPath, const std::string& aBody)
{
  const std::lock_guard lock(mutex_);
  if (aPath == "/v1/kv-lease") {
    boost::system::error_code code;
    const json::value body = json::parse(aBody, code);
    const auto time = code ? 1000 : body.at("ttlMs").to_number<std::uint64_t>();
    const std::uint64_t id = ++contents_.lastLease_;
    contents_.leaseTimes_[id] = Milliseconds(time);
    contents_.leases_[id] = Clock::now() + Milliseconds(time);
    return { 200,
             R"({"lease":)" + std::to_string(id) + R"(,"ttlMs":)" +
               std::to_string(time) + "}" };
  }
  const std::uint64_t id = ParseNumber(aPath.substr(aPath.rfind('/') + 1));
  const auto lease = contents_.leases_.find(id);
  if (lease == contents_.leases_.end()) {
    return { 404, "{}" };
  }
  lease->second = Clock::now() + contents_.leaseTimes_[id];
  return { 200,
           R"({"ttlMs":)" + std::to_string(contents_.leaseTimes_[id].count()) +
             "}" };
}

} // namespace rig

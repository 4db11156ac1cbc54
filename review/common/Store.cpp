#include "Store.h"

#include <boost/json/src.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace review {

namespace json = boost::json;

namespace {

constexpr Milliseconds kIdleTime{ 60000 };
constexpr Milliseconds kLeaseInterval{ 100 };
constexpr std::string_view kKeepPath = "/v1/kv-keep/";
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 412;
constexpr std::string_view kAlphabet =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string
EncodeBase64(std::string_view aBytes)
{
  std::string text;
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      const bool isInside = at + index < aBytes.size();
      group = (group << 8U) |
              (isInside ? static_cast<unsigned char>(aBytes[at + index]) : 0U);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      const bool isPadding = at + index > aBytes.size();
      text += isPadding ? '=' : kAlphabet[(group >> (18U - 6U * index)) & 63U];
    }
  }
  return text;
}

std::string
DecodeBase64(std::string_view aText)
{
  std::string bytes;
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (const char character : aText) {
    const std::size_t value = kAlphabet.find(character);
    if (value == std::string_view::npos) {
      break;
    }
    bits = (bits << 6U) | static_cast<std::uint32_t>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes += static_cast<char>((bits >> count) & 255U);
    }
  }
  return bytes;
}

std::uint64_t
ParseNumber(const std::string& aText)
{
  return std::strtoull(aText.c_str(), nullptr, 10);
}

json::object
ParseObject(const std::string& aText)
{
  boost::system::error_code code;
  json::value value = json::parse(aText, code);
  return !code && value.is_object() ? value.get_object() : json::object();
}

} // namespace

Store::Store(const std::string& aIp)
  : listener_({ aIp, 0 }, [this](Socket& aSocket) { Serve(aSocket); })
{
  leaseTimer_ = std::thread([this] { EndLeases(); });
}

Store::~Store()
{
  {
    const std::lock_guard lock(mutex_);
    isStopped_ = true;
  }
  changed_.notify_all();
  listener_.Stop();
  leaseTimer_.join();
  for (std::thread& call : lateCalls_) {
    call.join();
  }
}

void
Store::Write(const std::string& aKey,
             std::optional<std::string> aValue,
             std::uint64_t aLease)
{
  ++revision_;
  changes_.push_back({ aKey, aValue, revision_ });
  if (!aValue) {
    items_.erase(aKey);
    return;
  }
  Item& item = items_[aKey];
  item.value_ = std::move(*aValue);
  item.revision_ = revision_;
  item.created_ = item.created_ == 0 ? revision_ : item.created_;
  item.lease_ = aLease;
}

void
Store::Put(const std::string& aKey, const std::string& aValue)
{
  {
    const std::lock_guard lock(mutex_);
    Write(aKey, aValue, 0);
  }
  changed_.notify_all();
}

void
Store::Remove(const std::string& aKey)
{
  {
    const std::lock_guard lock(mutex_);
    Write(aKey, std::nullopt, 0);
  }
  changed_.notify_all();
}

void
Store::LoseNextAnswer(const std::string& aKeyPrefix, Milliseconds aDelay)
{
  const std::lock_guard lock(mutex_);
  lossPrefix_ = aKeyPrefix;
  lossDelay_ = aDelay;
}

std::vector<std::string>
Store::FindKeys(const std::string& aPrefix)
{
  const std::lock_guard lock(mutex_);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (key.starts_with(aPrefix)) {
      keys.push_back(key);
    }
  }
  return keys;
}

void
Store::EndLeases()
{
  std::unique_lock lock(mutex_);
  while (!isStopped_) {
    changed_.wait_for(lock, kLeaseInterval);
    const Clock::time_point now = Clock::now();
    bool hasEnded = false;
    for (auto at = leases_.begin(); at != leases_.end();) {
      if (now < at->second.end_) {
        ++at;
        continue;
      }
      std::vector<std::string> keys;
      for (const auto& [key, item] : items_) {
        if (item.lease_ == at->first) {
          keys.push_back(key);
        }
      }
      for (const std::string& key : keys) {
        Write(key, std::nullopt, 0);
      }
      hasEnded = hasEnded || !keys.empty();
      at = leases_.erase(at);
    }
    if (hasEnded) {
      changed_.notify_all();
    }
  }
}

void
Store::Serve(Socket& aSocket)
{
  HttpReader reader(aSocket);
  HttpMessage request;
  while (reader.Read(request, kIdleTime) == ReadResult::Complete) {
    const std::string response = Handle(request);
    if (response.empty() || !aSocket.Send(response)) {
      return;
    }
  }
}

std::string
Store::Handle(const HttpMessage& aRequest)
{
  const std::string path = aRequest.GetPath();
  if (path == "/v1/kv-key") {
    return HandleKey(aRequest);
  }
  if (path == "/v1/kv-range") {
    return HandleRange(aRequest);
  }
  if (path == "/v1/kv-watch") {
    return HandleWatch(aRequest);
  }
  if (path == "/v1/kv-txn") {
    return HandleTransaction(aRequest);
  }
  if (path == "/v1/kv-lease") {
    return HandleLease(aRequest);
  }
  if (path.starts_with(kKeepPath)) {
    return HandleKeep(aRequest);
  }
  return FormatJsonResponse(kNotFound, "{}");
}

namespace {

template<typename Item>
json::object
FormatItem(const std::string& aKey, const Item& aItem)
{
  return { { "key", aKey },
           { "value", EncodeBase64(aItem.value_) },
           { "rev", aItem.revision_ },
           { "created", aItem.created_ },
           { "lease", aItem.lease_ } };
}

} // namespace

std::string
Store::HandleKey(const HttpMessage& aRequest)
{
  const std::lock_guard lock(mutex_);
  const auto found = items_.find(aRequest.FindQuery("key"));
  json::object body;
  if (found != items_.end()) {
    body = FormatItem(found->first, found->second);
  }
  body["currentRev"] = revision_;
  return FormatJsonResponse(found != items_.end() ? kOk : kNotFound,
                            json::serialize(body));
}

std::string
Store::HandleRange(const HttpMessage& aRequest)
{
  const std::lock_guard lock(mutex_);
  const std::string prefix = aRequest.FindQuery("prefix");
  const std::string after = aRequest.FindQuery("after");
  json::array items;
  for (const auto& [key, item] : items_) {
    if (key.starts_with(prefix) && key > after) {
      items.push_back(FormatItem(key, item));
    }
  }
  return FormatJsonResponse(
    kOk,
    json::serialize(json::object{
      { "items", items }, { "hasMore", false }, { "currentRev", revision_ } }));
}

std::string
Store::HandleWatch(const HttpMessage& aRequest)
{
  const std::string prefix = aRequest.FindQuery("prefix");
  const std::uint64_t after = ParseNumber(aRequest.FindQuery("after"));
  const Milliseconds wait(ParseNumber(aRequest.FindQuery("waitMs")));
  std::unique_lock lock(mutex_);
  json::array events;
  const auto findEvents = [&] {
    for (const Change& change : changes_) {
      if (change.revision_ <= after || !change.key_.starts_with(prefix)) {
        continue;
      }
      json::object event{ { "key", change.key_ }, { "rev", change.revision_ } };
      if (change.value_) {
        event["value"] = EncodeBase64(*change.value_);
      } else {
        event["tombstone"] = true;
      }
      events.push_back(std::move(event));
    }
    return !events.empty() || isStopped_;
  };
  changed_.wait_for(lock, wait, findEvents);
  return FormatJsonResponse(
    kOk,
    json::serialize(
      json::object{ { "events", events }, { "currentRev", revision_ } }));
}

bool
Store::TakeLoss(const HttpMessage& aRequest)
{
  const json::object body = ParseObject(aRequest.body_);
  const json::value* puts = body.if_contains("puts");
  const std::lock_guard lock(mutex_);
  if (lossPrefix_.empty() || puts == nullptr || puts->as_array().empty()) {
    return false;
  }
  const std::string key(
    puts->as_array().front().as_object().at("key").as_string());
  if (!key.starts_with(lossPrefix_)) {
    return false;
  }
  lossPrefix_.clear();
  return true;
}

std::string
Store::HandleTransaction(const HttpMessage& aRequest)
{
  if (!TakeLoss(aRequest)) {
    return ExecuteTransaction(aRequest);
  }
  std::unique_lock lock(mutex_);
  lateCalls_.emplace_back([this, request = aRequest, delay = lossDelay_] {
    {
      std::unique_lock inner(mutex_);
      changed_.wait_for(inner, delay, [&] { return isStopped_; });
    }
    ExecuteTransaction(request);
  });
  // The channel returns nothing further.
  changed_.wait_for(lock, kIdleTime, [&] { return isStopped_; });
  return {};
}

std::string
Store::ExecuteTransaction(const HttpMessage& aRequest)
{
  const json::object body = ParseObject(aRequest.body_);
  std::uint64_t revision = 0;
  {
    const std::lock_guard lock(mutex_);
    if (const json::value* conditions = body.if_contains("expectRev")) {
      for (const json::value& condition : conditions->as_array()) {
        const auto found =
          items_.find(std::string(condition.as_object().at("key").as_string()));
        const std::uint64_t current =
          found == items_.end() ? 0 : found->second.revision_;
        const auto expected =
          condition.as_object().at("rev").to_number<std::uint64_t>();
        if (current != expected) {
          return FormatJsonResponse(kConflict, R"({"items":[]})");
        }
      }
    }
    if (const json::value* puts = body.if_contains("puts")) {
      for (const json::value& put : puts->as_array()) {
        const auto lease =
          put.as_object().at("lease").to_number<std::uint64_t>();
        if (lease != 0 && !leases_.contains(lease)) {
          return FormatJsonResponse(kNotFound, "{}");
        }
      }
      for (const json::value& put : puts->as_array()) {
        Write(std::string(put.as_object().at("key").as_string()),
              DecodeBase64(put.as_object().at("value").as_string()),
              put.as_object().at("lease").to_number<std::uint64_t>());
      }
    }
    revision = revision_;
  }
  changed_.notify_all();
  return FormatJsonResponse(
    kOk, json::serialize(json::object{ { "rev", revision } }));
}

std::string
Store::HandleLease(const HttpMessage& aRequest)
{
  const json::object body = ParseObject(aRequest.body_);
  const Milliseconds lifetime(body.at("ttlMs").to_number<std::int64_t>());
  const std::lock_guard lock(mutex_);
  const std::uint64_t lease = nextLease_++;
  leases_[lease] = { lifetime, Clock::now() + lifetime };
  return FormatJsonResponse(
    kOk,
    json::serialize(
      json::object{ { "lease", lease }, { "ttlMs", lifetime.count() } }));
}

std::string
Store::HandleKeep(const HttpMessage& aRequest)
{
  const std::string id = aRequest.GetPath().substr(kKeepPath.size());
  const std::lock_guard lock(mutex_);
  const auto found = leases_.find(ParseNumber(id));
  if (found == leases_.end()) {
    return FormatJsonResponse(kNotFound, "{}");
  }
  found->second.end_ = Clock::now() + found->second.lifetime_;
  return FormatJsonResponse(kOk, "{}");
}

} // namespace review
